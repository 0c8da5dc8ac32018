"""Numbered log events, and the ring of recent events behind the time line.

docs/events.md is the catalogue of all events; `python -m figwalk.events` prints it.
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
# Values of other types may change, or keep much alive, so they become text at once.
_CONSTANT_TYPES = frozenset({str, int, bool, float, type(None)})
LOGICAL_BITS = 16  # Low bits of a hybrid clock value count events within one millisecond.
# Clocks of VMs differ by far less. A value near the 64-bit limit would overflow in messages.
MAX_CLOCK_LEAD_MS = 24 * 3600 * 1000


class Event(Enum):
    """All log events: number, level, meaning."""

    PROCESS_STARTED = (100, "info", "The process serves on its addresses.")
    PROCESS_STOPPING = (101, "info", "A graceful shutdown began.")
    PROCESS_STOPPED = (102, "info", "The process has stopped; nothing was cut.")
    PROCESS_STOP_CUT = (
        103,
        "error",
        "The grace time ended with calls running or outcomes not yet in the log.",
    )
    TASK_FAILED = (104, "error", "A task ended with an unexpected error.")

    HTTP_BAD_REQUEST = (200, "warning", "An HTTP request was refused as malformed or too large.")
    HTTP_SLOW_SENDER = (201, "warning", "An HTTP client did not send its request in time.")
    HTTP_TOO_MANY_CONNECTIONS = (202, "warning", "A connection was refused at the limit.")
    PEER_FRAME_REJECTED = (203, "warning", "A peer sent an oversize or malformed frame.")
    PEER_CONNECTED = (204, "info", "A connection to another figwalk process opened.")
    PEER_LOST = (205, "warning", "A connection to another figwalk process was lost.")
    PEER_PORT_TAKEN = (207, "warning", "Another process holds the peer port; this one waits.")
    ANSWER_MISMATCH = (206, "error", "An answer frame carried the identifier of another call.")

    REQUEST_RECEIVED = (300, "debug", "A caller's request was accepted for routing.")
    REQUEST_ROUTED = (301, "debug", "A backend server was chosen for a request.")
    REQUEST_ANSWERED = (302, "debug", "The whole answer went to the caller.")
    REQUEST_REFUSED = (303, "info", "The request was refused; the fields say why.")
    REQUEST_RETRIED = (304, "info", "The request goes to another backend server.")
    REQUEST_CANCELLED = (305, "info", "The caller went away before the end of the answer.")
    STREAM_RESUMED = (306, "warning", "A broken stream continues on another backend server.")
    STREAM_CUT = (307, "error", "A stream ended before its end.")
    RETRY_BUDGET_EMPTY = (308, "warning", "The retry budget allows no further attempt.")

    CALL_ADMITTED = (400, "debug", "The agent admitted a call.")
    CALL_REFUSED = (401, "info", "The agent refused a call.")
    CALL_SENT = (402, "debug", "The agent sent a call to its backend server.")
    CALL_FINISHED = (403, "debug", "The backend server's answer ended.")
    CALL_FAILED = (404, "warning", "The backend server failed during a call.")
    CALL_CANCELLED = (405, "info", "A call was cancelled by the entry or its loss.")
    BACKEND_DOWN = (406, "warning", "The backend server does not answer.")
    BACKEND_UP = (407, "info", "The backend server answers.")
    BACKEND_LEAVING = (408, "info", "The backend server takes no new work.")
    BACKEND_SERVING = (409, "info", "The backend server takes work again.")

    BACKEND_REGISTERED = (410, "info", "A backend server appeared in the platform's list.")
    BACKEND_REMOVED = (411, "info", "A backend server is gone from the platform's list.")
    BACKEND_EXPIRING = (
        412,
        "info",
        "A registration expired around an outage of the store; a renewal is awaited.",
    )
    BACKEND_ROLE_CHANGED = (413, "info", "An engine reports another role.")
    BACKEND_RECORD_SKIPPED = (414, "warning", "A record of the list could not be read.")
    BACKEND_AVOIDED = (415, "warning", "Calls to a backend server failed; it is avoided.")
    BACKEND_USED_AGAIN = (416, "info", "A backend server that was avoided answers again.")
    BACKEND_CLOSED = (417, "info", "A backend server wants no calls of this process for a time.")
    ATTEMPT_SENT = (420, "info", "A call was sent to a backend server.")
    ATTEMPT_FAILED = (421, "info", "An attempt at a backend server failed; the fields say how.")
    CALL_ANSWERED = (422, "info", "A caller got its answer; the fields say from where.")
    ANSWER_FOREIGN = (423, "warning", "A backend server's answer belonged to another request.")
    PREFILL_DONE = (424, "debug", "An engine has read a prompt and holds its KV cache.")
    PREFILL_WASTED = (425, "info", "The KV cache of a read prompt could not be used.")
    PROMPT_PLACED = (427, "info", "Engines were chosen for a prompt, or it was refused.")
    PROMPT_DECIDED = (428, "info", "The agent beside an engine decided on an offered prompt.")
    ENGINE_STARTED_ANEW = (429, "info", "An engine restarted or has another role.")
    CACHE_FOLLOWED = (430, "info", "An engine says which parts of prompts it keeps.")
    CACHE_UNKNOWN = (431, "warning", "An engine no longer says which parts of prompts it keeps.")
    READINESS_CHANGED = (426, "info", "The answer to readiness checks changed.")

    CONFIG_ADOPTED = (500, "info", "A configuration revision is in force in this process.")
    CONFIG_PUBLISHED = (501, "info", "A publication was accepted.")
    CONFIG_CONFLICT = (502, "warning", "A publication lost against another one.")
    CONFIG_REJECTED = (503, "warning", "A publication or record was not valid.")
    CONFIG_SNAPSHOT = (504, "info", "A configuration snapshot was appended to the log.")
    LOG_UNAVAILABLE = (505, "warning", "The platform's log does not answer.")
    LOG_AVAILABLE = (506, "info", "The platform's log answers again.")
    LOG_TRUNCATED = (507, "warning", "The log dropped records before they were read.")

    LOG_RESTORED = (513, "warning", "The log came back from an older copy; it is read as a whole.")
    SETTINGS_RELOADED = (508, "info", "The settings file was read again.")
    SETTINGS_REJECTED = (509, "warning", "The changed settings file is not valid; the old stay.")
    LOG_LINES_DROPPED = (510, "warning", "Log lines were dropped to keep the volume bounded.")

    LEASE_ACQUIRED = (600, "info", "This process holds the controller lease.")
    LEASE_LOST = (601, "warning", "This process no longer holds the controller lease.")
    ROLE_DECIDED = (602, "info", "The controller decided on a role; the fields give the reason.")
    ORDER_APPENDED = (603, "info", "An order was appended to the log.")
    ORDER_CONFIRMED = (604, "info", "An order was confirmed as the newest one in the log.")
    ORDER_SENT = (605, "info", "The agent sent an order to its backend server.")
    ORDER_APPLIED = (606, "info", "The backend server carried out an order.")
    ORDER_REFUSED = (607, "warning", "The backend server refused an order.")
    ORDER_UNCONFIRMED = (608, "warning", "An order waits because it can't be proved current.")

    KEY_CLAIMED = (700, "debug", "A claim of an idempotency key won.")
    KEY_REPLAYED = (701, "info", "The recorded answer of a key was sent again.")
    KEY_VOIDED = (702, "warning", "A claim was voided before it was sent.")
    KEY_RELEASED = (703, "info", "A claim was recorded as not run.")
    KEY_UNKNOWN = (704, "warning", "The outcome of a key is unknown.")
    KEY_OUTCOME_RECORDED = (705, "debug", "The outcome of a key is in the log.")

    MEMBER_JOINED = (800, "info", "The VM list shows a new VM.")
    MEMBER_LEAVING = (801, "info", "The VM list shows a VM as leaving.")
    MEMBER_GONE = (802, "info", "The VM list no longer shows a VM.")
    MEMBER_LIST_UNAVAILABLE = (803, "warning", "The VM list does not answer; the last one stays.")

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
    """Hybrid logical clock: wall-clock milliseconds with a counter, never going back.

    Source: Kulkarni et al., "Logical Physical Clocks", 2014.
    """

    def __init__(self, timer: Timer) -> None:
        self._timer = timer
        self._value = 0

    def tick(self) -> int:
        """Return the clock for a local event or a message to be sent."""
        self._value = max(self._value + 1, self._timer.wall_ms() << LOGICAL_BITS)
        return self._value

    def observe(self, remote: int) -> None:
        """Move past the clock of a received message, unless that is far ahead of this VM's."""
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
        fields: Further fields as text.
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
class _KeptEvent:
    """An event as the ring keeps it; its field values become text only when it is read."""

    sequence: int
    clock: int
    wall_ms: int
    event: Event
    request_id: str
    fields: dict[str, object]

    def render(self, process: str) -> EventRecord:
        """Return the event as it is shown."""
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
    """Writes numbered events to the log and keeps the newest ones in memory.

    Args:
        process: Name of the process.
        timer: Source of wall-clock time.
        ring_size: Number of events kept for the time line.
    """

    def __init__(self, process: str, timer: Timer, *, ring_size: int = RING_SIZE) -> None:
        self._process = process
        self._timer = timer
        self._clock = HybridClock(timer)
        self._ring: deque[_KeptEvent] = deque(maxlen=ring_size)
        self._sequence = itertools.count(1)
        self._logger = structlog.get_logger("figwalk").bind(process=process)
        self._writes_debug = self._logger.is_enabled_for(logging.DEBUG)

    @property
    def clock(self) -> HybridClock:
        """The process's hybrid clock, for messages to other processes."""
        return self._clock

    @property
    def process(self) -> str:
        """Name of the process."""
        return self._process

    def record(self, event: Event, *, request_id: str = "", **fields: object) -> None:
        """Log one event and keep it for the time line.

        Args:
            event: What happened.
            request_id: Request that it belongs to, if any.
            **fields: Further facts; values are kept as text.
        """
        for key, value in fields.items():
            if type(value) not in _CONSTANT_TYPES:
                fields[key] = str(value)
        clock = self._clock.tick()
        self._ring.append(
            _KeptEvent(
                next(self._sequence), clock, self._timer.wall_ms(), event, request_id, fields
            )
        )
        # `Enum` computes `name` and `value` by descriptors, three calls for each use.
        number, level, _meaning = event._value_
        if level != "debug" or self._writes_debug:
            write = getattr(self._logger, level)
            write(event._name_, number=number, request_id=request_id, **_render_fields(fields))

    def select(self, request_id: str = "") -> list[EventRecord]:
        """Return the kept events of one request, or all of them."""
        return [
            kept.render(self._process)
            for kept in self._ring
            if not request_id or kept.request_id == request_id
        ]


def merge_timeline(records: list[EventRecord]) -> list[EventRecord]:
    """Order the events of several processes causally, whatever their wall clocks say."""
    return sorted(records, key=lambda record: (record.clock, record.process, record.sequence))


def encode_events(records: list[EventRecord]) -> bytes:
    """Return the JSON form of events."""
    return json.dumps([attrs.asdict(record) for record in records]).encode()


def decode_events(data: bytes) -> list[EventRecord]:
    """Return the events of a JSON form; none if it is not valid."""
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
