"""Spreads work that leaves its region over nearly equal backend servers.

Load: traffic in waves that are shifted between regions, so that all gateways of a region at its
peak see the same idle backend server elsewhere, by reports that are some tenths of a second old.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from typing import TypeVar

# Smaller differences between predicted times may be due to the age of reports.
NEARLY_EQUAL_S = 0.015

Choice = TypeVar("Choice")


def spread_remote(
    ranked: Sequence[Choice],
    cost_s: Callable[[Choice], float],
    is_remote: Callable[[Choice], bool],
    rng: random.Random,
) -> list[Choice]:
    """Return choices in their order, but begin with a random one of the nearly equal remote ones.

    The order stays as it is if the best choice is in the region of the caller: its predicted wait
    does not exceed the way to another region.

    Args:
        ranked: Choices, the best first.
        cost_s: Returns the predicted seconds of a choice, with the way to it.
        is_remote: Returns whether a choice is in another region, and may replace the best one.
        rng: Source of the choice.
    """
    choices = list(ranked)
    if len(choices) < 2 or not is_remote(choices[0]):
        return choices
    limit_s = cost_s(choices[0]) + NEARLY_EQUAL_S
    near = [n for n, c in enumerate(choices) if is_remote(c) and cost_s(c) <= limit_s]
    choices.insert(0, choices.pop(rng.choice(near)))
    return choices


def choose_offers(
    ranked: Sequence[Choice],
    may_help: Callable[[Choice], bool],
    is_remote: Callable[[Choice], bool],
    count: int,
) -> list[Choice]:
    """Return the choices to try in turn, with a further one elsewhere if all are in the region.

    At a peak, all backend servers of a region refuse work within the same tenth of a second, while
    the reports that this process has still show room there. The further choice replaces none of the
    others: the third of them often has room.

    Args:
        ranked: Choices, the best first.
        may_help: Returns whether a choice is predicted to be in time.
        is_remote: Returns whether a choice is in another region.
        count: Number of choices to try, apart from the further one.
    """
    tried = list(ranked[:count])
    if any(is_remote(choice) for choice in tried):
        return tried
    return tried + [c for c in ranked[count:] if is_remote(c) and may_help(c)][:1]
