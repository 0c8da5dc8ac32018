"""Predicts how many events the longest answers of model engines have."""

from __future__ import annotations

# The last event of an answer may hold fewer tokens than the others. Of shorter answers, that would
# make events look smaller than they are.
MIN_EVENTS = 4


class AnswerLengths:
    """Learns how many output tokens an event holds, from the answers that use up what they may.

    Callers state the largest number of output tokens. Most answers end long before it, and nothing
    tells which ones do.
    """

    def __init__(self) -> None:
        self._events_per_token: dict[str, float] = {}

    def record(self, service: str, max_tokens: int | None, events: int) -> None:
        """Record an answer that ended.

        Args:
            service: Service whose engine gave it.
            max_tokens: Output tokens that the caller allowed, or None if it stated none.
            events: Events of the whole answer.
        """
        if max_tokens and events >= MIN_EVENTS:
            known = self._events_per_token.get(service, 0.0)
            self._events_per_token[service] = max(known, min(1.0, events / max_tokens))

    def longest(self, service: str, max_tokens: int | None) -> float:
        """Return the largest number of events of an answer; 0 as long as it is unknown.

        Args:
            service: Service whose engine gives it.
            max_tokens: Output tokens that the caller allows, or None if it states none.
        """
        return (max_tokens or 0) * self._events_per_token.get(service, 0.0)
