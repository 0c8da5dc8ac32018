"""Interfaces between a duty, the lease that allows it to act, and the receivers of its calls."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Mapping
from enum import Enum

import attrs

from figwalk.coordination.compacted_log import KeyedRecord


class Authority(ABC):
    """Tells a duty whether its process may act."""

    @abstractmethod
    def fence(self) -> int | None:
        """Return the fencing token for a call that begins now, or None if none may begin."""

    @abstractmethod
    def left_s(self) -> float:
        """Return the seconds for which the process still holds the lease."""

    @abstractmethod
    def record_refused(self, fence: int) -> None:
        """Give up the lease: a receiver has seen a higher fencing token than this one."""

    @abstractmethod
    def step_aside(self) -> None:
        """Let another process take over, since this one can't reach the receivers of its calls."""

    @abstractmethod
    def notify(self) -> None:
        """Have the records of the duties appended now."""


class Duty(ABC):
    """Work for all processes that only the holder of the lease does."""

    @abstractmethod
    def is_wanted(self) -> bool:
        """Return whether there is something to do for a holder."""

    @abstractmethod
    def records(self) -> Mapping[str, bytes]:
        """Return the records to append with the next renewal; called only while the lease is held.

        They are returned again, unchanged, until `apply` was called with them.
        """

    @abstractmethod
    def has_urgent_records(self) -> bool:
        """Return whether records should be appended at once rather than with the next renewal."""

    @abstractmethod
    def apply(self, record: KeyedRecord) -> None:
        """Apply a record of the lease's topic; must not raise for a strange one."""

    @abstractmethod
    def handle_restore(self) -> None:
        """Handle that the log was restored from an older copy; called before it is read again."""

    @abstractmethod
    def handle_listing(self, *, complete: bool) -> None:
        """Handle that all records of a read were applied.

        Args:
            complete: Whether the read returned the newest record of every key.
        """

    @abstractmethod
    async def run(self, authority: Authority) -> None:
        """Act while the lease is held, until cancelled."""


class CallResult(Enum):
    """How a call of a duty ended."""

    DONE = "done"
    FENCED = "fenced"  # The receiver has seen a higher fencing token.
    REFUSED = "refused"  # The receiver did not carry it out.
    UNREACHABLE = "unreachable"  # Nothing was sent.
    UNKNOWN = "unknown"  # It may be carried out now, later or never.


@attrs.frozen
class CallOutcome:
    """Result of a call of a duty.

    Attributes:
        result: How it ended.
        detail: Reason, for logs.
        retry_after_s: Seconds after which the receiver wants to be asked again, or 0.
    """

    result: CallResult
    detail: str = ""
    retry_after_s: float = 0.0


class DutyClient(ABC):
    """Makes the calls of the duties to the platform."""

    @abstractmethod
    async def report_usage(
        self, window: int, counts: Mapping[str, int], authority: Authority
    ) -> CallOutcome:
        """Report the calls of each organisation in a window.

        Nothing is sent if the authority gives no fencing token at the moment of sending; the
        outcome is then `REFUSED`.
        """

    @abstractmethod
    async def order_servers(
        self, service: str, zone: str, count: int, authority: Authority
    ) -> CallOutcome:
        """Order a number of backend servers; see `report_usage`."""
