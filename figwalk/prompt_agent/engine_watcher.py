"""Polls the engine on the agent's VM for its state and adapts the prefill queue to it."""

from __future__ import annotations

from abc import ABC, abstractmethod

import attrs
import trio

from figwalk.coordination.prefill_queue import PrefillQueue
from figwalk.coordination.stream_pace import StreamDeadlines, limit_prefill_share
from figwalk.coordination.stream_pauses import (
    NO_STREAMS,
    EngineRun,
    PauseLimit,
    StreamLoad,
    StreamProgress,
    limit_prefill,
)
from figwalk.errors import HttpError
from figwalk.events import Event, EventLog
from figwalk.protocol.messages import Role
from figwalk.state.gateway_settings import EngineSettings
from figwalk.timer import Timer
from figwalk.transport import Headers, HttpClient, HttpRequest

# An engine on the same VM answers within a few milliseconds; each report takes the VM about 1 ms.
REPORT_PERIOD_S = 0.1
REPORT_TIMEOUT_S = 0.4
# An engine may ask for a longer pause than this, but only a poll shows that another instance has
# replaced it.
MAX_PAUSE_S = 60.0
# A report lists the engine's calls, about 40 bytes each.
MAX_REPORT_BYTES = 256 * 1024
# One missed report may be a transient fault; the next poll, one period later, decides.
DOWN_AFTER_MISSED_REPORTS = 2


@attrs.frozen
class EngineReport:
    """State that an engine reports.

    Attributes:
        role: Role of the engine.
        changing: Whether the engine reports that it is busy with a change of its weights or role;
            it does not count as up meanwhile.
        born_ms: Wall-clock milliseconds at which the engine started.
        running: Calls in progress.
        waiting: Calls in the engine's queue.
        kv_tokens: Capacity of the engine's KV cache in tokens.
        leaving: Whether the engine is about to leave.
        requests_per_s: Requests a second that the engine takes from all processes, or None.
        runs: Calls that the engine runs, or None if the report does not list them.
    """

    role: Role
    changing: bool
    born_ms: int
    running: int
    waiting: int
    kv_tokens: int
    leaving: bool = False
    requests_per_s: float | None = None
    runs: tuple[EngineRun, ...] | None = None


class EngineReportCodec(ABC):
    """Encodes requests for an engine's role, load and state, and decodes the reports."""

    @abstractmethod
    def encode_report_request(self) -> HttpRequest:
        """Return the request for a report."""

    @abstractmethod
    def read_retry_after_s(self, status: int, headers: Headers) -> float:
        """Return the seconds for which the engine asks for no calls; 0 if it does not."""

    @abstractmethod
    def decode_report(self, headers: Headers, body: bytes) -> EngineReport:
        """Decode a report of the engine's role, load and state.

        Raises:
            HttpError: The report is malformed.
        """


class EngineWatcher:
    """Polls the engine and sets the rate and the duty of the prefill queue accordingly.

    Args:
        client: HTTP client of the engine.
        codec: Codec of the engine's reports.
        queue: Prompts that were granted to the engine.
        settings: Prefill rates of the deployment's engines.
        events: Event log.
        timer: Source of time.
    """

    def __init__(
        self,
        client: HttpClient,
        codec: EngineReportCodec,
        queue: PrefillQueue,
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
        self._missed_reports = 0
        self._paused_until = 0.0
        self._up = False
        self._progress = StreamProgress()
        self._deadlines = StreamDeadlines()
        self._stream_load = NO_STREAMS
        self._prefilled_s = 0.0

    @property
    def up(self) -> bool:
        """Whether the engine responds and is neither busy with a change nor leaving."""
        report = self._report
        return self._up and report is not None and not (report.changing or report.leaving)

    @property
    def born_ms(self) -> int:
        """Wall-clock milliseconds of the engine's start; 0 before its first report."""
        return self._report.born_ms if self._report is not None else 0

    @property
    def decoding(self) -> int:
        """Calls that the engine is generating tokens for."""
        if self._report is None or self._report.role is Role.PREFILL:
            return 0
        return max(0, self._report.running - self._queue.depth)

    @property
    def stream_load(self) -> StreamLoad:
        """Streams that the engine runs; empty if its reports don't list its calls."""
        return self._stream_load

    def limit_prefill(self, gap_s: float) -> PauseLimit | None:
        """Return the limit of prefill beside the streams; see `stream_pauses.limit_prefill`."""
        return limit_prefill(self._stream_load, gap_s)

    def expect_stream(self, request_id: str, events: float, left_s: float) -> None:
        """Add a stream that is about to begin at the engine.

        Args:
            request_id: Id under which the engine lists the call.
            events: Largest number of events.
            left_s: Seconds until the last one is due.
        """
        self._deadlines.expect(self._timer.now(), request_id, events, left_s)

    @property
    def report(self) -> EngineReport | None:
        """The latest report, or None before the first one."""
        return self._report

    @property
    def report_age_s(self) -> float:
        """Seconds since the latest report; infinite before the first one."""
        if self._reported_at is None:
            return float("inf")
        return self._timer.now() - self._reported_at

    async def poll(self) -> None:
        """Request one report, unless the engine asked for a pause; a callback of the timer."""
        if self._timer.now() < self._paused_until:
            return
        request = self._codec.encode_report_request()
        try:
            with trio.fail_after(REPORT_TIMEOUT_S):
                response, body = await self._client.fetch(
                    request.method, request.target, max_bytes=MAX_REPORT_BYTES
                )
                self._pause_polling(
                    self._codec.read_retry_after_s(response.status, response.headers)
                )
                report = self._codec.decode_report(response.headers, body)
        except (HttpError, trio.TooSlowError) as error:
            self._record_missed_report(repr(error))
            return
        self._missed_reports = 0
        self._apply_report(report)

    def _pause_polling(self, seconds: float) -> None:
        if seconds > 0:
            self._paused_until = self._timer.now() + min(seconds, MAX_PAUSE_S)

    def _apply_report(self, report: EngineReport) -> None:
        previous, self._report = self._report, report
        self._reported_at = self._timer.now()
        if previous is None or (previous.born_ms, previous.role) != (report.born_ms, report.role):
            self._queue.set_engine(tokens_per_s=self._settings.prefill_rate(report.role))
            self._progress = StreamProgress()
            self._events.record(
                Event.ENGINE_STARTED_ANEW,
                role=report.role.value,
                born_ms=report.born_ms,
                kv_tokens=report.kv_tokens,
            )
        limit = previous.requests_per_s if previous is not None else None
        if report.requests_per_s != limit:
            self._events.record(Event.BACKEND_LIMITED, requests_per_s=report.requests_per_s)
        if (previous is not None and previous.runs is not None) != (report.runs is not None):
            self._events.record(Event.ENGINE_RUNS_LISTED, listed=report.runs is not None)
        self._stream_load = self._measure_streams(report)
        load = self._stream_load if report.runs is not None else StreamLoad(self.decoding)
        self._queue.set_duty(limit_prefill_share(load))
        if not self._up:
            self._up = True
            self._events.record(Event.BACKEND_UP, running=report.running, waiting=report.waiting)

    def _measure_streams(self, report: EngineReport) -> StreamLoad:
        if report.runs is None:
            self._progress = StreamProgress()
            return NO_STREAMS
        prefilled_s = self._queue.prefilled_s
        runs = () if report.role is Role.PREFILL else report.runs
        now = self._timer.now()
        self._progress.record(now, runs, prefilled_s - self._prefilled_s)
        self._prefilled_s = prefilled_s
        load = self._progress.load
        needed_s = self._deadlines.needed_event_s(now, runs, load.event_s)
        return attrs.evolve(load, needed_event_s=needed_s)

    def _record_missed_report(self, detail: str) -> None:
        self._missed_reports += 1
        if self._up and self._missed_reports >= DOWN_AFTER_MISSED_REPORTS:
            self._up = False
            self._events.record(
                Event.BACKEND_DOWN, age_s=round(self.report_age_s, 3), detail=detail
            )
