"""Usage counts of gateways and decided reports, as the log holds them."""

from __future__ import annotations

import json
from typing import Any, TypeVar

import attrs
import cattrs

DECISION_PREFIX = "usage/"
SENT_KEY = "usage-sent"
# Decided reports are kept in the log for this many windows; their keys are used in turn.
KEPT_WINDOWS = 48
MAX_COUNT = 2**53

T = TypeVar("T")


class UsageRecordError(ValueError):
    """A record of usage can't be decoded."""


@attrs.frozen
class UsageCounts:
    """Counts of one gateway.

    Attributes:
        process: Name of the gateway.
        first: Window in which it began to count.
        through: Last window whose counts are complete.
        stopped: Whether it has ended and counts no more.
        windows: Calls of each organisation in each of the last windows, by the window's number.
        partial: Calls counted so far in the window after `through`.
        zone: Availability zone of the gateway, or empty.
        demand: Mean number of calls in flight at each service with autoscaling, in the last window.
    """

    process: str
    first: int
    through: int
    stopped: bool
    windows: dict[int, dict[str, int]]
    partial: dict[str, int] = attrs.field(factory=dict)
    zone: str = ""
    demand: dict[str, float] = attrs.field(factory=dict)

    def encode(self) -> bytes:
        """Return the value of the record."""
        return _encode(self)

    @classmethod
    def decode(cls, value: bytes) -> UsageCounts:
        """Return the counts of a record.

        Raises:
            UsageRecordError: The value is not a record of counts.
        """
        return _decode(value, cls, lambda counts: [*counts.windows.values(), counts.partial])


@attrs.frozen
class UsageDecision:
    """The report of a window as it is sent by whoever sends it.

    Attributes:
        window: Number of the window.
        counts: Calls of each organisation.
        missing: Names of gateways whose counts are not included.
    """

    window: int
    counts: dict[str, int]
    missing: list[str] = attrs.field(factory=list)

    @property
    def key(self) -> str:
        """Key of the record."""
        return f"{DECISION_PREFIX}{self.window % KEPT_WINDOWS}"

    def encode(self) -> bytes:
        """Return the value of the record."""
        return _encode(self)

    @classmethod
    def decode(cls, value: bytes) -> UsageDecision:
        """Return the decision of a record.

        Raises:
            UsageRecordError: The value is not a decision.
        """
        return _decode(value, cls, lambda decision: [decision.counts])


@attrs.frozen
class SentWindows:
    """The windows whose reports the platform has taken, of those that the log still holds."""

    windows: list[int]

    def encode(self) -> bytes:
        """Return the value of the record."""
        return _encode(self)

    @classmethod
    def decode(cls, value: bytes) -> SentWindows:
        """Return the windows of a record.

        Raises:
            UsageRecordError: The value does not hold windows.
        """
        return _decode(value, cls, lambda _sent: [])


def _encode(record: Any) -> bytes:
    return json.dumps(
        attrs.asdict(record, recurse=False), separators=(",", ":"), sort_keys=True
    ).encode()


def _decode(value: bytes, cls: type[T], list_counts: Any) -> T:
    try:
        record = cattrs.structure(json.loads(value), cls)
    except (ValueError, RecursionError, cattrs.BaseValidationError) as error:
        raise UsageRecordError(f"not a record of usage: {error!r}") from error
    for counts in list_counts(record):
        if not all(0 <= count <= MAX_COUNT for count in counts.values()):
            raise UsageRecordError(f"a count is not from 0 to {MAX_COUNT}")
    return record
