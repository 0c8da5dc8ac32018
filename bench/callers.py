"""Open-loop callers of the goodput measurement: each call is sent at its time in the trace."""

from __future__ import annotations

import json
from collections.abc import Iterable

import attrs
import trio

from bench.traces import Arrival
from figwalk.errors import HttpError
from figwalk.state.settings import Address
from figwalk.timer import MS_PER_S
from figwalk.transport import HttpClient, HttpRequest, HttpResponse

TARGET = "/v1/completions"
TOKEN_MARKER = b'"finish_reason":null'
# Callers wait longer than the deadline, to distinguish late answers from missing ones.
TIMEOUT_DEADLINE_RATIO = 1.25


@attrs.define
class Outcome:
    """Result of one call at its caller; times are real seconds.

    Attributes:
        arrival: The call.
        status: HTTP status; 0 if no response arrived.
        code: Error code of a refusal, or why there is no complete answer.
        complete: Whether the whole answer arrived.
        retry_after: Whether a refusal has a `Retry-After` header.
        first_s: Time to the first token.
        total_s: Time to the end of the answer or refusal.
        gaps_s: Times between the chunks of a stream.
        tokens: Number of events with a token in the stream.
    """

    arrival: Arrival
    status: int = 0
    code: str = ""
    complete: bool = False
    retry_after: bool = False
    first_s: float = 0.0
    total_s: float = 0.0
    gaps_s: list[float] = attrs.field(factory=list)
    tokens: int = 0

    @property
    def token_gap_s(self) -> float:
        """Mean time between tokens."""
        return sum(self.gaps_s) / max(1, self.tokens - 1)


class Callers:
    """Sends the calls of a trace to the entries by round robin.

    Args:
        entries: Addresses at which the entries serve callers.
        model: Model that the calls request.
        time_scale: Real seconds per engine second.
    """

    def __init__(self, entries: list[Address], model: str, time_scale: float) -> None:
        self._clients = [HttpClient(address.host, address.port) for address in entries]
        self._model = model
        self._time_scale = time_scale
        self._outcomes: list[Outcome] = []

    @property
    def outcomes(self) -> list[Outcome]:
        """All calls sent, in order of arrival."""
        return self._outcomes

    async def run(self, arrivals: Iterable[Arrival], start: float) -> None:
        """Send all calls and wait for their answers.

        Args:
            arrivals: The calls.
            start: Trio time of engine second 0.
        """
        async with trio.open_nursery() as nursery:
            for arrival in arrivals:
                await trio.sleep_until(start + arrival.at_s * self._time_scale)
                outcome = Outcome(arrival)
                self._outcomes.append(outcome)
                nursery.start_soon(self._send, outcome)
        for client in self._clients:
            client.close()

    async def _send(self, outcome: Outcome) -> None:
        arrival = outcome.arrival
        deadline_s = arrival.kind.deadline_s * self._time_scale
        client = self._clients[arrival.number % len(self._clients)]
        sent_at = trio.current_time()
        with trio.move_on_after(deadline_s * TIMEOUT_DEADLINE_RATIO) as scope:
            try:
                async with client.open(self._build_request(arrival, deadline_s)) as response:
                    await self._read(response, outcome, sent_at)
            except HttpError as error:
                outcome.code = outcome.code or type(error).__name__
        if scope.cancelled_caught:
            outcome.code = "no_answer"
        outcome.total_s = trio.current_time() - sent_at

    def _build_request(self, arrival: Arrival, deadline_s: float) -> HttpRequest:
        kind = arrival.kind
        body = {
            "model": self._model,
            "prompt": arrival.prompt(),
            "max_tokens": kind.max_tokens,
            "stream": kind.stream,
        }
        headers = [
            (b"content-type", b"application/json"),
            (b"figwalk-deadline-ms", str(round(deadline_s * MS_PER_S)).encode()),
            (b"figwalk-priority", kind.priority.encode()),
            (b"figwalk-organisation", kind.organisation.encode()),
        ]
        return HttpRequest("POST", TARGET, headers, json.dumps(body).encode())

    async def _read(self, response: HttpResponse, outcome: Outcome, sent_at: float) -> None:
        outcome.status = response.status
        if response.status != 200:
            outcome.retry_after = bool(response.header(b"retry-after"))
            outcome.code = json.loads(await response.read())["error"]["code"]
        elif outcome.arrival.kind.stream:
            await self._read_stream(response, outcome, sent_at)
        else:
            body = json.loads(await response.read())
            outcome.complete = body["usage"]["completion_tokens"] == outcome.arrival.kind.max_tokens

    async def _read_stream(self, response: HttpResponse, outcome: Outcome, sent_at: float) -> None:
        previous = 0.0
        tail = b""
        async for chunk in response.chunks():
            now = trio.current_time()
            if previous:
                outcome.gaps_s.append(now - previous)
            else:
                outcome.first_s = now - sent_at
            previous = now
            # An entry serialises the events of a resumed stream anew, with different whitespace.
            outcome.tokens += chunk.replace(b": ", b":").count(TOKEN_MARKER)
            tail = (tail + chunk)[-64:]
        done = tail.rstrip().endswith(b"data: [DONE]")
        outcome.complete = done and outcome.tokens == outcome.arrival.kind.max_tokens
        if not outcome.complete:
            outcome.code = "stream_cut"
