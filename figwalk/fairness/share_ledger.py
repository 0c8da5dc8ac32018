"""Work that organisations asked for and were granted lately, and the fair share of each."""

from __future__ import annotations

import itertools
import math
from bisect import bisect_left

import attrs

from figwalk.timer import Timer

# Work counts less the longer ago it was: by a factor of e after this time. It spans several bursts.
MEMORY_S = 5.0
# Older weights are folded into the sums before they become large.
MAX_AGE_FACTOR = 20.0
# Organisations with less recent work than this, in seconds, are forgotten.
NEGLIGIBLE_WORK_S = 1e-4
# An organisation is granted at least this part of the share of its work that all are granted on
# average. The required least is a quarter.
LEAST_SERVED_SHARE = 0.5
# Shares are computed again after this time or this many records, or when an organisation appears.
SHARES_TTL_S = 0.02
SHARES_MAX_RECORDS = 4
LEVEL_STEPS = 30  # Steps of the search; each halves the error.


@attrs.define
class _Account:
    asked: float = 0.0
    granted: float = 0.0


@attrs.frozen
class _Shares:
    made_at: float
    level: float
    floor: float


class ShareLedger:
    """Counts work by organisation and derives fair shares of the work that was granted in total.

    A share is max-min fair with a floor: an organisation that asks for less than a common level
    gets all of it, the others get that level, but no organisation gets less than
    `LEAST_SERVED_SHARE` of the average in proportion to what it asked for.

    Args:
        timer: Source of time.
    """

    def __init__(self, timer: Timer) -> None:
        self._timer = timer
        # Work is added with a weight that grows with time, instead of letting all sums decay. All
        # sums thereby keep their ratios between changes.
        self._base_at: float | None = None  # Components are made before the clock runs.
        self._accounts: dict[int, _Account] = {}
        self._shares: _Shares | None = None
        self._records = 0  # Since the shares were computed.

    @property
    def organisations(self) -> int:
        """Number of organisations with recent work."""
        return len(self._accounts)

    def add_asked(self, organisation: int, work_s: float) -> None:
        """Record seconds of work that an organisation asked for, granted or not."""
        weight = self._weigh()
        self._account(organisation).asked += work_s * weight

    def add_granted(self, organisation: int, work_s: float) -> None:
        """Record seconds of work that an organisation was granted."""
        weight = self._weigh()
        self._account(organisation).granted += work_s * weight

    def asks_within_share(self, organisation: int) -> bool:
        """Return whether an organisation asks for no more than its fair share."""
        account = self._accounts.get(organisation)
        return account is None or account.asked <= self._current_shares().level

    def share_used(self, organisation: int) -> float:
        """Return what an organisation was granted, as a multiple of its fair share."""
        account = self._accounts.get(organisation)
        if account is None or account.granted <= 0:
            return 0.0
        shares = self._current_shares()
        share = min(account.asked, max(shares.level, shares.floor * account.asked))
        return account.granted / share if share > 0 else math.inf

    def _account(self, organisation: int) -> _Account:
        account = self._accounts.get(organisation)
        self._records += 1
        if account is None:
            account = self._accounts[organisation] = _Account()
            self._shares = None
        elif self._records > SHARES_MAX_RECORDS:
            self._shares = None
        return account

    def _weigh(self) -> float:
        """Return the weight of work that is recorded now."""
        if self._base_at is None:
            self._base_at = self._timer.now()
        factor = math.exp((self._timer.now() - self._base_at) / MEMORY_S)
        if factor < MAX_AGE_FACTOR:
            return factor
        self._base_at = self._timer.now()
        self._shares = None
        for organisation, account in list(self._accounts.items()):
            account.asked /= factor
            account.granted /= factor
            if max(account.asked, account.granted) < NEGLIGIBLE_WORK_S:
                del self._accounts[organisation]
        return 1.0

    def _current_shares(self) -> _Shares:
        now = self._timer.now()
        if self._shares is None or now - self._shares.made_at >= SHARES_TTL_S:
            self._shares = self._compute_shares(now)
            self._records = 0
        return self._shares

    def _compute_shares(self, now: float) -> _Shares:
        asked = sorted(account.asked for account in self._accounts.values())
        sums = [0.0, *itertools.accumulate(asked)]
        granted = sum(account.granted for account in self._accounts.values())
        if granted >= sums[-1]:
            return _Shares(now, math.inf, 1.0)
        floor = LEAST_SERVED_SHARE * granted / sums[-1]
        low, high = 0.0, asked[-1]
        for _ in range(LEVEL_STEPS):
            level = (low + high) / 2
            # Up to `first`, organisations get all; up to `last` the level, the others the floor.
            first = bisect_left(asked, level)
            last = bisect_left(asked, level / floor) if floor > 0 else len(asked)
            given = sums[first] + level * (last - first) + floor * (sums[-1] - sums[last])
            if given <= granted:
                low = level
            else:
                high = level
        return _Shares(now, low, floor)
