"""A short soak against real processes, judged by the rules that need no wall clock."""

import trio

from histories.checker import TIMELESS_RULES, check_history
from histories.soak import Soak, SoakOptions
from histories.workload import Traffic

OPTIONS = SoakOptions(
    seed=7,
    faults=5,
    only=frozenset({"kill_entry", "kill_agent", "cut_link", "lost_log_answers", "stop_agent"}),
    traffic=Traffic(callers=4),
)


def test_short_soak_breaks_no_rule(tmp_path):
    """Guards against repeated runs, mixed up answers and lost processes under faults."""
    soak = Soak(OPTIONS, tmp_path)
    trio.run(soak.run)
    assert check_history(soak.history, TIMELESS_RULES) == []
    assert any(answer.status == 201 for answer in soak.history.answers.values())
    assert len(soak.history.disturbances) >= OPTIONS.faults
