"""Notices of backend servers in their answers: that they leave, are closed, or limit requests.

The gateway acts on a notice at once, without waiting until the list of backend servers shows it.
"""

from __future__ import annotations

import math
from collections.abc import Callable

import attrs

from figwalk.timer import Timer

# Limits the effect of a wrong value, which must not keep a backend server out of use for good. It
# is longer than any outage of a service that is planned in an answer.
MAX_CLOSED_S = 86_400.0
# A registration that expires and is renewed within this time does not undo a notice.
NOTICE_RETENTION_S = 120.0


@attrs.define
class _Notice:
    """Notices of one instance of a backend server, from its start to its end.

    Attributes:
        born_ms: Wall-clock milliseconds of its start.
        updated_at: Timer time of the newest notice.
        leaving: Whether it has announced that it leaves.
        closed_until: Timer time until which it accepts no calls of this process.
        requests_per_s: Requests a second that it takes from all processes together, or None.
        limited_at: Timer time of the newest answer that stated the limit.
    """

    born_ms: int
    updated_at: float
    leaving: bool = False
    closed_until: float = -math.inf
    requests_per_s: float | None = None
    limited_at: float = -math.inf


class BackendNotices:
    """Notices of backend servers in their answers to this process.

    A notice belongs to one instance of a backend server, identified by its id and start time: a
    restart under the same id starts without notices.

    Args:
        timer: Source of time.
    """

    def __init__(self, timer: Timer) -> None:
        self._timer = timer
        self._notices: dict[str, _Notice] = {}

    def mark_leaving(self, backend: str, born_ms: int) -> bool:
        """Record that a backend server leaves; return whether that is new."""
        notice = self._find_or_create(backend, born_ms)
        if notice is None or notice.leaving:
            return False
        notice.leaving = True
        return True

    def mark_closed(self, backend: str, born_ms: int, seconds: float) -> bool:
        """Record that a backend server accepts no calls for some seconds, at most `MAX_CLOSED_S`.

        A time that would end before the recorded one changes nothing.

        Returns:
            Whether the recorded time changed.
        """
        notice = self._find_or_create(backend, born_ms)
        if notice is None:
            return False
        until = self._timer.now() + min(seconds, MAX_CLOSED_S)
        if until <= notice.closed_until:
            return False
        notice.closed_until = until
        return True

    def mark_limit(
        self, backend: str, born_ms: int, requests_per_s: float | None, sent_at: float
    ) -> bool:
        """Record which limit an answer states, if any; return whether the limit changed.

        Answers on several connections overtake each other. One without a limit lifts it only if the
        call was sent after the newest answer with a limit had arrived.

        Args:
            backend: Id of the backend server.
            born_ms: Wall-clock milliseconds of its start.
            requests_per_s: Requests a second from all processes together, or None.
            sent_at: Timer time at which the answered call was sent.
        """
        if requests_per_s is None and self._find(backend, born_ms) is None:
            return False
        notice = self._find_or_create(backend, born_ms)
        if notice is None or (requests_per_s is None and sent_at < notice.limited_at):
            return False
        if requests_per_s is not None:
            notice.limited_at = self._timer.now()
        changed = requests_per_s != notice.requests_per_s
        notice.requests_per_s = requests_per_s
        return changed

    def is_leaving(self, backend: str, born_ms: int) -> bool:
        """Return whether an instance of a backend server has announced that it leaves."""
        notice = self._find(backend, born_ms)
        return notice is not None and notice.leaving

    def requests_per_s(self, backend: str, born_ms: int) -> float | None:
        """Return the requests a second that a backend server takes from all processes, or None."""
        notice = self._find(backend, born_ms)
        return notice.requests_per_s if notice is not None else None

    def opens_in_s(self, backend: str, born_ms: int) -> float:
        """Return the seconds until a backend server accepts calls again; 0 if it does now."""
        notice = self._find(backend, born_ms)
        if notice is None:
            return 0.0
        return self._timer.left_s(notice.closed_until)

    def drop_expired(self, is_registered: Callable[[str], bool]) -> None:
        """Drop old notices of backend servers that are no longer registered."""
        now = self._timer.now()
        cutoff = now - NOTICE_RETENTION_S
        for backend, notice in list(self._notices.items()):
            is_old = notice.updated_at < cutoff and notice.closed_until < now
            if is_old and not is_registered(backend):
                del self._notices[backend]

    def _find(self, backend: str, born_ms: int) -> _Notice | None:
        notice = self._notices.get(backend)
        return notice if notice is not None and notice.born_ms == born_ms else None

    def _find_or_create(self, backend: str, born_ms: int) -> _Notice | None:
        """Return the notices to update, or None if the answer is from an earlier instance."""
        known = self._notices.get(backend)
        if known is not None and known.born_ms > born_ms:
            return None
        if known is None or known.born_ms < born_ms:
            known = self._notices[backend] = _Notice(born_ms, self._timer.now())
        known.updated_at = self._timer.now()
        return known
