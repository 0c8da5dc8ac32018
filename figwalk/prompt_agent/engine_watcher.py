"""Asks the engine beside the agent for its state."""

from __future__ import annotations

from abc import ABC, abstractmethod

import attrs
import trio

from figwalk.coordination.reading_queue import ReadingQueue
from figwalk.errors import HttpError
from figwalk.events import Event, EventLog
from figwalk.protocol.messages import Role
from figwalk.state.backend_statements import MAX_CLOSED_S
from figwalk.state.gateway_settings import EngineSettings
from figwalk.timer import Timer
from figwalk.transport import Headers, HttpClient, HttpRequest

# An engine on the same VM answers within a few milliseconds; a report costs this VM about one.
REPORT_PERIOD_S = 0.1
REPORT_TIMEOUT_S = 0.4
# A report lists the engine's calls, some 40 bytes each.
MAX_REPORT_BYTES = 256 * 1024
# One lost report may be an accident; the next one comes after the period.
MISSED_REPORTS_DOWN = 2
# Reading prompts between the tokens of streams makes each token take about three times as long.
# With this share of the time, the longest answers still end within their callers' 15 s.
STREAMING_DUTY = 0.3
# Fewer calls are the first tokens of prompts that were read elsewhere.
MIN_STREAMS = 4


@attrs.frozen
class EngineReport:
    """What an engine says of itself.

    Attributes:
        role: Its role.
        changing: Whether an order is being carried out.
        born_ms: Wall-clock milliseconds of its start.
        running: Calls being worked on.
        waiting: Calls in its queue.
        kv_tokens: Tokens that its KV cache holds.
        leaving: Whether it is about to leave.
    """

    role: Role
    changing: bool
    born_ms: int
    running: int
    waiting: int
    kv_tokens: int
    leaving: bool = False


class EngineReportCodec(ABC):
    """Asks for an engine's report and reads it."""

    @abstractmethod
    def encode_report_request(self) -> HttpRequest:
        """Return the request for a report."""

    @abstractmethod
    def read_closed_s(self, status: int, headers: Headers) -> float:
        """Return the seconds for which the engine wants no calls; 0 if it does not say."""

    @abstractmethod
    def decode_report(self, headers: Headers, body: bytes) -> EngineReport:
        """Return what a report says.

        Raises:
            HttpError: The report can't be read.
        """


class EngineWatcher:
    """Keeps the queue fitting to the engine beside the agent.

    Args:
        client: The engine.
        codec: Its protocol.
        queue: Prompts granted to it.
        settings: Speeds of the deployment's engines.
        events: Event log.
        timer: Source of time.
    """

    def __init__(
        self,
        client: HttpClient,
        codec: EngineReportCodec,
        queue: ReadingQueue,
        settings: EngineSettings,
        events: EventLog,
        timer: Timer,
    ) -> None:
        self._client = client
        self._codec = codec
        self._queue = queue
        self._settings = settings
        self._events = events
        self._timer = timer
        self._report: EngineReport | None = None
        self._reported_at: float | None = None
        self._missed = 0
        self._closed_until = 0.0
        self._up = False

    @property
    def up(self) -> bool:
        """Whether the engine answers and takes work."""
        report = self._report
        return self._up and report is not None and not (report.changing or report.leaving)

    @property
    def decoding(self) -> int:
        """Calls that the engine is generating tokens for."""
        if self._report is None or self._report.role is Role.PREFILL:
            return 0
        return max(0, self._report.running - self._queue.depth)

    @property
    def report(self) -> EngineReport | None:
        """The newest report, or None before the first one."""
        return self._report

    @property
    def report_age_s(self) -> float:
        """Seconds since the newest report; infinite before the first one."""
        if self._reported_at is None:
            return float("inf")
        return self._timer.now() - self._reported_at

    async def watch(self) -> None:
        """Ask once, as a callback of the timer service."""
        if self._timer.now() < self._closed_until:
            return
        request = self._codec.encode_report_request()
        try:
            with trio.fail_after(REPORT_TIMEOUT_S):
                response, body = await self._client.fetch(
                    request.method, request.target, max_bytes=MAX_REPORT_BYTES
                )
                self._note_closed(self._codec.read_closed_s(response.status, response.headers))
                report = self._codec.decode_report(response.headers, body)
        except (HttpError, trio.TooSlowError) as error:
            self._note_missed(repr(error))
            return
        self._missed = 0
        self._take_over(report)

    def _note_closed(self, seconds: float) -> None:
        if seconds > 0:
            self._closed_until = self._timer.now() + min(seconds, MAX_CLOSED_S)

    def _take_over(self, report: EngineReport) -> None:
        known, self._report = self._report, report
        self._reported_at = self._timer.now()
        if known is None or (known.born_ms, known.role) != (report.born_ms, report.role):
            self._queue.set_engine(tokens_per_s=self._settings.prefill_rate(report.role))
            self._events.record(
                Event.ENGINE_STARTED_ANEW,
                role=report.role.value,
                born_ms=report.born_ms,
                kv_tokens=report.kv_tokens,
            )
        is_streaming = self.decoding >= MIN_STREAMS
        self._queue.set_duty(STREAMING_DUTY if is_streaming else 1.0)
        if not self._up:
            self._up = True
            self._events.record(Event.BACKEND_UP, running=report.running, waiting=report.waiting)

    def _note_missed(self, detail: str) -> None:
        self._missed += 1
        if self._up and self._missed >= MISSED_REPORTS_DOWN:
            self._up = False
            self._events.record(
                Event.BACKEND_DOWN, age_s=round(self.report_age_s, 3), detail=detail
            )
