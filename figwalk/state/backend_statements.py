"""What backend servers say of themselves in their answers, before any list shows it."""

from __future__ import annotations

import math
from collections.abc import Callable

import attrs

from figwalk.timer import Timer

# A wrong value must not keep a backend server out of use for good.
MAX_CLOSED_S = 60.0
# A registration that lapses and returns within this time does not undo what was said.
STATEMENT_MEMORY_S = 120.0


@attrs.define
class _Statement:
    """What one life of a backend server has said.

    Attributes:
        born_ms: Wall-clock milliseconds of its start.
        noted_at: Timer time of the newest statement.
        leaving: Whether it leaves.
        closed_until: Timer time until which it wants no calls of this process.
    """

    born_ms: int
    noted_at: float
    leaving: bool = False
    closed_until: float = -math.inf


class BackendStatements:
    """Statements of backend servers in their answers to this process.

    A statement belongs to one life of a backend server: a restart under the same id starts without
    any.

    Args:
        timer: Source of time.
    """

    def __init__(self, timer: Timer) -> None:
        self._timer = timer
        self._statements: dict[str, _Statement] = {}

    def note_leaving(self, backend: str, born_ms: int) -> bool:
        """Note that a backend server leaves; return whether that is new."""
        statement = self._open(backend, born_ms)
        if statement is None or statement.leaving:
            return False
        statement.leaving = True
        return True

    def note_closed(self, backend: str, born_ms: int, seconds: float) -> bool:
        """Note that a backend server wants no calls for some seconds, `MAX_CLOSED_S` at the most.

        A shorter time than one that still runs changes nothing. Returns whether that is new.
        """
        statement = self._open(backend, born_ms)
        if statement is None:
            return False
        until = self._timer.now() + min(seconds, MAX_CLOSED_S)
        if until <= statement.closed_until:
            return False
        statement.closed_until = until
        return True

    def is_leaving(self, backend: str, born_ms: int) -> bool:
        """Return whether a life of a backend server has said that it leaves."""
        statement = self._find(backend, born_ms)
        return statement is not None and statement.leaving

    def opens_in_s(self, backend: str, born_ms: int) -> float:
        """Return the seconds until a backend server takes calls again; 0 if it does now."""
        statement = self._find(backend, born_ms)
        if statement is None:
            return 0.0
        return self._timer.left_s(statement.closed_until)

    def forget_old(self, is_registered: Callable[[str], bool]) -> None:
        """Forget the statements of backend servers that have been gone for long."""
        horizon = self._timer.now() - STATEMENT_MEMORY_S
        for backend, statement in list(self._statements.items()):
            if statement.noted_at < horizon and not is_registered(backend):
                del self._statements[backend]

    def _find(self, backend: str, born_ms: int) -> _Statement | None:
        statement = self._statements.get(backend)
        return statement if statement is not None and statement.born_ms == born_ms else None

    def _open(self, backend: str, born_ms: int) -> _Statement | None:
        """Return the statement to change, or None for an answer of an earlier life."""
        known = self._statements.get(backend)
        if known is not None and known.born_ms > born_ms:
            return None
        if known is None or known.born_ms < born_ms:
            known = self._statements[backend] = _Statement(born_ms, self._timer.now())
        known.noted_at = self._timer.now()
        return known
