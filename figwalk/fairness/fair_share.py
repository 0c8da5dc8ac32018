"""Decides how much of the time to its target a call may wait, by what its organisation has used."""

from __future__ import annotations

from enum import IntEnum, StrEnum

import attrs

from figwalk.coordination.cached_parts import hash_part
from figwalk.fairness.share_ledger import ShareLedger
from figwalk.timer import Timer

# Pressure lasts for this long after a call was refused or predicted to be late.
PRESSURE_S = 1.0
# Room of organisations that used up their share. What remains of the time to the target absorbs
# the calls of the others. In bursts of one of 72 organisations, 0.5 served the others no better and
# left the backend server idle for longer after each burst.
LEAST_ROOM = 0.7
LOW_PRIORITY_ROOM = 0.6
# The room falls from 1 to the least while the used part of a share rises from here to 1.
FULL_ROOM_USE = 0.75
# A repeat that comes too early takes only what first tries leave unused.
EARLY_REPEAT_ROOM = 0.2
# A repeat at its time goes before first tries of organisations above their share, but not before
# the calls of organisations below theirs: it would let repeats of a large one displace small ones.
DUE_REPEAT_ROOM = 0.85
UNKNOWN_ORGANISATION = 0
FULL_ROOM = 1.0


class TryKind(IntEnum):
    """Whether a call was seen before, and whether it came back at the time that it was told."""

    FIRST = 0  # Also if unknown.
    EARLY_REPEAT = 1
    DUE_REPEAT = 2


class ShareReason(StrEnum):
    """Why a call was given its room."""

    UNKNOWN = "unknown_organisation"
    NO_PRESSURE = "no_pressure"
    ALONE = "only_organisation"
    WITHIN_SHARE = "within_share"
    ABOVE_SHARE = "above_share"
    EARLY_REPEAT = "early_repeat"
    DUE_REPEAT = "due_repeat"


@attrs.frozen
class ShareRequest:
    """A call that asks for room.

    Attributes:
        organisation: Hash of the caller's organisation, or `UNKNOWN_ORGANISATION`.
        work_s: Seconds of work that the call is predicted to take; 0 before the prediction.
        priority: Priority of the call; 0 is the highest.
        tried: Whether it was seen before.
    """

    organisation: int = UNKNOWN_ORGANISATION
    work_s: float = 0.0
    priority: int = 0
    tried: TryKind = TryKind.FIRST


@attrs.frozen
class ShareDecision:
    """The room of a call and the reason for it.

    Attributes:
        room: Part of the time to the target that the call may wait, above 0 and up to 1.
        reason: Why.
    """

    room: float
    reason: ShareReason


class FairShare:
    """Shares room among organisations that together ask for more than the backend servers can do.

    The load: a few large organisations and many small ones (72 with a skew of 1.2), bursts, and
    callers that repeat refused calls at once. Without pressure, everyone has all the room. Under
    pressure, calls of organisations that used up their share may wait only for part of the time to
    their target, so that the rest of that time is left to the others. A call for which nothing has
    to wait is never refused, so that nothing is idle while a call is refused for its share.

    The object knows only the calls that passed it. One that has just started has seen no pressure
    and no work, and treats all organisations alike.

    Args:
        timer: Source of time.
    """

    def __init__(self, timer: Timer) -> None:
        self._timer = timer
        self._ledger = ShareLedger(timer)
        self._pressure_until = -float("inf")

    @property
    def under_pressure(self) -> bool:
        """Whether a call was refused or late within the last `PRESSURE_S`."""
        return self._timer.now() < self._pressure_until

    def admit(self, request: ShareRequest) -> ShareDecision:
        """Return the room of a call, and count its work as asked for."""
        if request.organisation == UNKNOWN_ORGANISATION:
            return ShareDecision(FULL_ROOM, ShareReason.UNKNOWN)
        if request.tried is TryKind.FIRST:
            # Repeats ask for the same work again; counted, they would raise the caller's share.
            self._ledger.add_asked(request.organisation, request.work_s)
        if not self.under_pressure:
            return ShareDecision(FULL_ROOM, ShareReason.NO_PRESSURE)
        if request.tried is TryKind.EARLY_REPEAT:
            return ShareDecision(EARLY_REPEAT_ROOM, ShareReason.EARLY_REPEAT)
        decision = self._weigh(request)
        if request.tried is TryKind.DUE_REPEAT and decision.room < DUE_REPEAT_ROOM:
            return ShareDecision(DUE_REPEAT_ROOM, ShareReason.DUE_REPEAT)
        return decision

    def record(self, organisation: int, work_s: float) -> None:
        """Record seconds of work that was granted to an organisation."""
        if organisation != UNKNOWN_ORGANISATION:
            self._ledger.add_granted(organisation, work_s)

    def record_pressure(self) -> None:
        """Record that a call was refused, or is predicted to be late."""
        self._pressure_until = self._timer.now() + PRESSURE_S

    def _weigh(self, request: ShareRequest) -> ShareDecision:
        if self._ledger.organisations < 2:
            return ShareDecision(FULL_ROOM, ShareReason.ALONE)
        if self._ledger.asks_within_share(request.organisation):
            return ShareDecision(FULL_ROOM, ShareReason.WITHIN_SHARE)
        used = self._ledger.share_used(request.organisation)
        if used <= FULL_ROOM_USE:
            return ShareDecision(FULL_ROOM, ShareReason.WITHIN_SHARE)
        least = LEAST_ROOM if request.priority == 0 else LOW_PRIORITY_ROOM
        excess = min(1.0, (used - FULL_ROOM_USE) / (1.0 - FULL_ROOM_USE))
        return ShareDecision(FULL_ROOM - excess * (FULL_ROOM - least), ShareReason.ABOVE_SHARE)


def hash_organisation(name: str) -> int:
    """Return the 32-bit hash that represents an organisation in messages and ledgers."""
    return hash_part(name) or 1  # 0 is `UNKNOWN_ORGANISATION`.
