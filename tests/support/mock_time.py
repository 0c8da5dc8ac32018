"""Runs async tests on a clock that jumps ahead when all tasks wait."""

from __future__ import annotations

import functools
from collections.abc import Awaitable, Callable

import trio
import trio.testing


def mock_time(test: Callable[..., Awaitable[None]]) -> Callable[..., None]:
    """Run an async test function under trio with a mock clock."""

    @functools.wraps(test)
    def run(*args: object, **kwargs: object) -> None:
        clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(functools.partial(test, *args, **kwargs), clock=clock)

    return run
