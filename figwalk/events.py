"""Numbered log events, and a ring buffer of recent events for request timelines.

docs/events.md contains the catalogue of all events; `python -m figwalk.events` prints it.
"""

from __future__ import annotations

import itertools
import json
import logging
from collections import deque
from enum import Enum

import attrs
import cattrs
import structlog

from figwalk.timer import Timer

RING_SIZE = 4096
# Values of other types may be mutable or reference large objects, so they are converted to text
# when the event is recorded.
_IMMUTABLE_TYPES = frozenset({str, int, bool, float, type(None)})
LOGICAL_BITS = 16  # Low bits of a hybrid clock value count events within one millisecond.
# The clocks of healthy VMs differ by far less. The limit rejects corrupt values: one near the
# 64-bit limit would overflow in messages.
MAX_CLOCK_LEAD_MS = 24 * 3600 * 1000


class Event(Enum):
    """All log events, each with number, level and meaning."""

    PROCESS_STARTED = (100, "info", "The process started and is listening on its addresses.")
    PROCESS_STOPPING = (101, "info", "A graceful shutdown started.")
    PROCESS_STOPPED = (102, "info", "The process stopped; nothing was interrupted.")
    PROCESS_STOP_CUT = (
        103,
        "error",
        "The grace period ended while calls were running or outcomes were not yet in the log.",
    )
    TASK_FAILED = (104, "error", "A task ended with an unexpected error.")

    HTTP_BAD_REQUEST = (200, "warning", "An HTTP request was refused as malformed or too large.")
    HTTP_SLOW_SENDER = (
        201,
        "warning",
        "An HTTP client did not send its request within the time limit.",
    )
    HTTP_TOO_MANY_CONNECTIONS = (
        202,
        "warning",
        "A connection was refused because too many are open.",
    )
    PEER_FRAME_REJECTED = (203, "warning", "A peer sent an oversize or malformed frame.")
    PEER_CONNECTED = (204, "info", "A connection to another figwalk process was opened.")
    PEER_LOST = (205, "warning", "A connection to another figwalk process was lost.")
    PEER_PORT_TAKEN = (
        207,
        "warning",
        "Another process holds the peer port; this one waits until it is free.",
    )
    ANSWER_MISMATCH = (206, "error", "An answer frame contained the identifier of another call.")
    ANSWER_WITHOUT_ROOM = (
        208,
        "warning",
        "A large answer was not received to its end, since too many bytes are held.",
    )

    REQUEST_RECEIVED = (300, "debug", "A caller's request was accepted for routing.")
    REQUEST_ROUTED = (301, "debug", "A backend server was chosen for a request.")
    REQUEST_ANSWERED = (302, "debug", "The whole answer was sent to the caller.")
    REQUEST_REFUSED = (303, "info", "The request was refused; the fields give the reason.")
    REQUEST_RETRIED = (304, "info", "The request is sent to another backend server.")
    REQUEST_CANCELLED = (305, "info", "The caller disconnected before the end of the answer.")
    STREAM_RESUMED = (306, "warning", "A broken stream is resumed on another backend server.")
    STREAM_CUT = (307, "error", "A stream ended before all of it was sent.")
    RETRY_BUDGET_EMPTY = (308, "warning", "The retry budget allows no further attempt.")
    REPEAT_SENT = (309, "info", "A call reaches backend servers once more than its first time.")
    STREAM_TAKEN_UP = (310, "info", "A caller asks for the rest of a stream that broke off.")

    CALL_ADMITTED = (400, "debug", "The agent admitted a call.")
    CALL_REFUSED = (401, "info", "The agent refused a call.")
    CALL_SENT = (402, "debug", "The agent sent a call to its backend server.")
    CALL_FINISHED = (403, "debug", "The backend server's answer has ended.")
    CALL_FAILED = (404, "warning", "The backend server failed during a call.")
    CALL_CANCELLED = (
        405,
        "info",
        "A call was cancelled by its entry or cut by the agent.",
    )
    BACKEND_DOWN = (406, "warning", "The backend server does not answer.")
    BACKEND_UP = (407, "info", "The backend server answers.")
    BACKEND_LEAVING = (408, "info", "The backend server accepts no new work.")
    BACKEND_SERVING = (409, "info", "The backend server accepts work again.")

    BACKEND_REGISTERED = (410, "info", "A backend server was added to the platform's list.")
    BACKEND_REMOVED = (411, "info", "A backend server is gone from the platform's list.")
    BACKEND_EXPIRING = (
        412,
        "info",
        "A registration expired around an outage of the store and may still be renewed.",
    )
    BACKEND_ROLE_CHANGED = (413, "info", "An engine reports a different role.")
    BACKEND_RECORD_SKIPPED = (414, "warning", "A record of the list could not be decoded.")
    BACKEND_AVOIDED = (
        415,
        "warning",
        "Calls to a backend server failed; it is not used for a time.",
    )
    BACKEND_USED_AGAIN = (416, "info", "A backend server that was avoided answers again.")
    BACKEND_CLOSED = (
        417,
        "info",
        "A backend server asked this process to send no calls for a time.",
    )
    BACKEND_LIMITED = (
        418,
        "info",
        "A backend server named, changed or lifted the number of requests a second that it takes.",
    )
    ATTEMPT_SENT = (420, "info", "A call was sent to a backend server.")
    ATTEMPT_FAILED = (
        421,
        "info",
        "An attempt at a backend server failed; the fields give the reason.",
    )
    CALL_ANSWERED = (
        422,
        "info",
        "A caller received its answer; the fields give the backend server.",
    )
    ANSWER_FOREIGN = (423, "warning", "A backend server sent the answer to another request.")
    PREFILL_DONE = (
        424,
        "debug",
        "An engine completed the prefill of a prompt and holds its KV cache.",
    )
    PREFILL_WASTED = (425, "info", "The KV cache of a read prompt could not be used.")
    PROMPT_PLACED = (427, "info", "Engines were chosen for a prompt, or it was refused.")
    PROMPT_DECIDED = (428, "info", "The agent beside an engine decided on an offered prompt.")
    ENGINE_STARTED_ANEW = (429, "info", "An engine appeared, restarted or changed its role.")
    CACHE_FOLLOWED = (
        430,
        "info",
        "An engine reports which parts of prompts its prefix cache holds.",
    )
    CACHE_UNKNOWN = (
        431,
        "warning",
        "An engine no longer reports which parts of prompts its prefix cache holds.",
    )
    ENGINE_CRASHED = (
        432,
        "warning",
        "A backend server ended while it worked on calls; the fields count the calls that may be"
        " the cause.",
    )
    PART_QUARANTINED = (
        433,
        "warning",
        "Prompts with a part are refused, because engines crash on it.",
    )
    PART_RELEASED = (434, "info", "Prompts with a quarantined part are sent again.")
    PART_TESTED = (
        435,
        "info",
        "One prompt with a quarantined part is sent, to test whether engines still crash on it.",
    )
    REQUEST_QUARANTINED = (
        438,
        "warning",
        "Backend servers crash on a request; it is not sent any more.",
    )
    REQUEST_RELEASED = (439, "info", "A quarantined request is sent again.")
    REQUEST_TESTED = (440, "info", "A quarantined request is sent once, as a test.")
    CRASH_REPORT_SKIPPED = (436, "warning", "A report of a crash in the log could not be decoded.")
    CRASH_REPORTS_UNPUBLISHED = (
        437,
        "warning",
        "Reports of crashes could not be written to the log; they are written later.",
    )
    READINESS_CHANGED = (426, "info", "The answer to readiness checks changed.")

    CONFIG_ADOPTED = (500, "info", "A configuration revision is in force in this process.")
    CONFIG_PUBLISHED = (501, "info", "A publication was accepted.")
    CONFIG_CONFLICT = (
        502,
        "warning",
        "A publication was rejected because another one changed the same path first.",
    )
    CONFIG_REJECTED = (503, "warning", "A publication or record is invalid.")
    CONFIG_SNAPSHOT = (504, "info", "A configuration snapshot was appended to the log.")
    LOG_UNAVAILABLE = (505, "warning", "The platform's log does not answer.")
    LOG_AVAILABLE = (506, "info", "The platform's log answers again.")
    LOG_TRUNCATED = (507, "warning", "The log dropped records before they were read.")

    LOG_RESTORED = (
        513,
        "warning",
        "The log was restored from an older copy; it is read as a whole.",
    )
    SETTINGS_RELOADED = (508, "info", "The changed settings file was read again.")
    SETTINGS_REJECTED = (
        509,
        "warning",
        "The changed settings file is invalid; the old one stays in force.",
    )
    LOG_LINES_DROPPED = (
        510,
        "warning",
        "Log lines were dropped to keep their volume bounded.",
    )

    LEASE_ACQUIRED = (600, "info", "This process holds the controller lease.")
    LEASE_LOST = (601, "warning", "This process no longer holds the controller lease.")
    ROLE_DECIDED = (602, "info", "The controller decided on a role; the fields give the reason.")
    ORDER_APPENDED = (603, "info", "An order was appended to the log.")
    ORDER_CONFIRMED = (604, "info", "An order was confirmed to be the newest one in the log.")
    ORDER_SENT = (605, "info", "The agent sent an order to its backend server.")
    ORDER_APPLIED = (606, "info", "The backend server carried out an order.")
    ORDER_REFUSED = (607, "warning", "The backend server refused an order.")
    ORDER_UNCONFIRMED = (
        608,
        "warning",
        "An order waits until it can be proved current, or its result is unknown.",
    )

    KEY_CLAIMED = (700, "debug", "An idempotency key was claimed.")
    KEY_REPLAYED = (701, "info", "The recorded answer of an idempotency key was sent again.")
    KEY_VOIDED = (702, "warning", "A claim was voided before it was sent.")
    KEY_RELEASED = (703, "info", "A claim was recorded as not run.")
    KEY_UNKNOWN = (704, "warning", "The outcome of an idempotency key is unknown.")
    KEY_OUTCOME_RECORDED = (705, "debug", "The outcome of an idempotency key is in the log.")

    MEMBER_JOINED = (800, "info", "The VM list shows a new VM.")
    MEMBER_LEAVING = (801, "info", "The VM list shows a VM as leaving.")
    MEMBER_GONE = (802, "info", "The VM list no longer shows a VM.")
    MEMBER_LIST_UNAVAILABLE = (
        803,
        "warning",
        "The VM list does not answer; the last known one stays in force.",
    )
    CRASH_WITHDRAWN = (
        820,
        "info",
        "A backend server that counted as ended goes on; calls that it held are no suspects.",
    )

    BACKEND_CONFIRMED = (
        830,
        "info",
        "A registration that the store had lost, or that had expired, is there again unchanged.",
    )
    HTTP_BODY_REFUSED = (
        831,
        "warning",
        "The body of a request was not read, since too many bytes are held.",
    )
    HELD_BYTES_BOUND = (
        832,
        "info",
        "The bound of the bytes of requests and answers that the process holds.",
    )
    ORGANISATIONS_CHANGED = (
        840,
        "info",
        "A configuration with organisations took effect; the fields count their keys.",
    )
    CONFIG_UNCONFIRMED = (
        841,
        "warning",
        "The store has not confirmed the configuration for so long that keys are not relied on.",
    )
    CONFIG_CONFIRMED = (842, "info", "The store confirms the configuration again.")
    CONFIG_COPY_WRITTEN = (
        843,
        "warning",
        "The store has lost the configuration in force; a copy was written for new processes.",
    )
    CONFIG_COPY_UNAVAILABLE = (
        844,
        "info",
        "The copy of a lost configuration could not be read or written.",
    )
    DUTIES_TAKEN = (850, "info", "This process holds the lease and carries out the duties.")
    DUTIES_LOST = (851, "warning", "This process no longer holds the lease of the duties.")
    DUTY_LOG_FAILED = (
        852,
        "warning",
        "The lease or a decision could not be read or written; it is tried again.",
    )
    DUTY_CALL_FAILED = (853, "warning", "A call of a duty failed; the fields give the reason.")
    USAGE_UNWRITTEN = (
        854,
        "warning",
        "The counts of this process could not be written to the log; they are written later.",
    )
    USAGE_DECIDED = (
        855,
        "info",
        "The report of a usage window was decided; the fields name processes without counts.",
    )
    USAGE_SENT = (856, "info", "The platform has taken the report of a usage window.")
    USAGE_COUNTS_LATE = (
        857,
        "warning",
        "Counts are missing in the report of a usage window that was already decided.",
    )
    USAGE_RECORD_SKIPPED = (858, "warning", "A record of usage counts could not be decoded.")
    DUTY_ORDERED = (859, "info", "An order was sent; the fields give the reason.")
    PACE_LIMITED = (
        860,
        "info",
        "A new or recovered backend server gets a limited number of calls at once.",
    )
    PACE_LIFTED = (861, "info", "A backend server kept up, and its limit of calls is lifted.")
    ENGINE_RUNS_LISTED = (
        870,
        "info",
        "The engine's reports list the calls that it runs, or do so no longer.",
    )
    RELAY_USED = (890, "info", "An agent of the zone reads a topic of the store for this gateway.")
    RELAY_LEFT = (
        891,
        "info",
        "An agent does not serve a relayed read; it is not asked for a time.",
    )
    RELAY_SERVED = (
        892,
        "info",
        "Reads of the store that this agent made and saved for gateways since the last such event.",
    )
    RELAY_PAGE_UNSENT = (893, "info", "The answer to a relayed read could not be sent.")

    @property
    def number(self) -> int:
        """Number in the catalogue."""
        return self.value[0]

    @property
    def level(self) -> str:
        """Log level."""
        return self.value[1]

    @property
    def meaning(self) -> str:
        """One sentence for the catalogue."""
        return self.value[2]


class HybridClock:
    """Hybrid logical clock: wall-clock milliseconds and a counter; it never decreases.

    Source: Kulkarni et al., "Logical Physical Clocks", 2014.
    """

    def __init__(self, timer: Timer) -> None:
        self._timer = timer
        self._value = 0

    def tick(self) -> int:
        """Advance the clock for a local event or an outgoing message and return its value."""
        self._value = max(self._value + 1, self._timer.wall_ms() << LOGICAL_BITS)
        return self._value

    def observe(self, remote: int) -> None:
        """Advance to the clock value of a received message.

        A value that is more than `MAX_CLOCK_LEAD_MS` ahead of the local wall clock is ignored.
        """
        if remote <= (self._timer.wall_ms() + MAX_CLOCK_LEAD_MS) << LOGICAL_BITS:
            self._value = max(self._value, remote)


@attrs.frozen
class EventRecord:
    """One event of one process.

    Attributes:
        process: Name of the process.
        sequence: Position among the events of the process.
        clock: Hybrid logical clock value.
        wall_ms: Wall-clock milliseconds since 1970 at the process.
        number: Event number.
        name: Event name.
        request_id: Request that the event belongs to, or an empty string.
        fields: Other fields, with their values as text.
    """

    process: str
    sequence: int
    clock: int
    wall_ms: int
    number: int
    name: str
    request_id: str
    fields: dict[str, str]


@attrs.frozen
class _BufferedEvent:
    """An event in the ring buffer; its field values are converted to text when it is read."""

    sequence: int
    clock: int
    wall_ms: int
    event: Event
    request_id: str
    fields: dict[str, object]

    def render(self, process: str) -> EventRecord:
        """Return the event with all field values as text."""
        return EventRecord(
            process,
            self.sequence,
            self.clock,
            self.wall_ms,
            self.event.number,
            self.event.name,
            self.request_id,
            _render_fields(self.fields),
        )


def _render_fields(fields: dict[str, object]) -> dict[str, str]:
    return {key: str(value) for key, value in fields.items()}


class EventLog:
    """Writes numbered events to the log output and keeps the newest ones in memory.

    Args:
        process: Name of the process.
        timer: Source of wall-clock time.
        ring_size: Number of events kept for request timelines.
    """

    def __init__(self, process: str, timer: Timer, *, ring_size: int = RING_SIZE) -> None:
        self._process = process
        self._timer = timer
        self._clock = HybridClock(timer)
        self._ring: deque[_BufferedEvent] = deque(maxlen=ring_size)
        self._sequence = itertools.count(1)
        self._logger = structlog.get_logger("figwalk").bind(process=process)
        self._debug_enabled = self._logger.is_enabled_for(logging.DEBUG)

    @property
    def clock(self) -> HybridClock:
        """Hybrid clock of the process, whose value is sent in messages to other processes."""
        return self._clock

    @property
    def process(self) -> str:
        """Name of the process."""
        return self._process

    def record(self, event: Event, *, request_id: str = "", **fields: object) -> None:
        """Log one event and keep it in memory for request timelines.

        Args:
            event: What happened.
            request_id: Request that the event belongs to, or an empty string.
            **fields: Other fields; values of mutable types are converted to text at once.
        """
        for key, value in fields.items():
            if type(value) not in _IMMUTABLE_TYPES:
                fields[key] = str(value)
        clock = self._clock.tick()
        self._ring.append(
            _BufferedEvent(
                next(self._sequence), clock, self._timer.wall_ms(), event, request_id, fields
            )
        )
        # The public `name` and `value` of an `Enum` are descriptors, which cost three calls each.
        number, level, _meaning = event._value_
        if level != "debug" or self._debug_enabled:
            write = getattr(self._logger, level)
            write(event._name_, number=number, request_id=request_id, **_render_fields(fields))

    def select(self, request_id: str = "") -> list[EventRecord]:
        """Return the events in memory that belong to a request, or all if `request_id` is empty."""
        return [
            event.render(self._process)
            for event in self._ring
            if not request_id or event.request_id == request_id
        ]


def merge_timeline(records: list[EventRecord]) -> list[EventRecord]:
    """Sort the events of several processes causally, independently of their wall clocks."""
    return sorted(records, key=lambda record: (record.clock, record.process, record.sequence))


def encode_events(records: list[EventRecord]) -> bytes:
    """Encode events as JSON."""
    return json.dumps([attrs.asdict(record) for record in records]).encode()


def decode_events(data: bytes) -> list[EventRecord]:
    """Decode events from JSON; return an empty list if the data is invalid."""
    try:
        return cattrs.structure(json.loads(data), list[EventRecord])
    except (ValueError, cattrs.BaseValidationError):
        return []


def render_catalogue() -> str:
    """Return the event catalogue as a Markdown table."""
    rows = ["| number | event | level | meaning |", "| --- | --- | --- | --- |"]
    rows += [f"| {e.number} | `{e.name}` | {e.level} | {e.meaning} |" for e in Event]
    return "\n".join(rows)


if __name__ == "__main__":
    print(render_catalogue())
