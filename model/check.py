"""Checks the models and their broken variants: `python -m model.check`."""

from __future__ import annotations

import sys
from types import ModuleType

import attrs
from minicheck import check_safety

from model import authority, configuration, keyed_calls

MAX_STATES = 3_000_000
MODELS: tuple[ModuleType, ...] = (authority, configuration, keyed_calls)


@attrs.frozen
class Result:
    """Result of one check.

    Attributes:
        name: Model and variant.
        states: States that were explored.
        broken: Names of invariants with a counterexample.
        undecided: Names of invariants that the checker could not decide.
        trace: Shortest counterexample of the first broken invariant.
    """

    name: str
    states: int
    broken: tuple[str, ...]
    undecided: tuple[str, ...]
    trace: tuple[str, ...]


def check(module: ModuleType, variant: str = "") -> Result:
    """Check a model or one of its broken variants."""
    protocol = module.build(variant)
    report = check_safety(protocol, max_states=MAX_STATES)
    properties = report["properties"]
    broken = tuple(name for name, found in properties.items() if found["holds"] is False)
    undecided = tuple(name for name, found in properties.items() if found["holds"] is None)
    trace = _trace(properties[broken[0]]["counterexample"]) if broken else ()
    return Result(protocol.name, report["reachable_states"], broken, undecided, trace)


def _trace(counterexample: list[dict[str, object]]) -> tuple[str, ...]:
    return tuple(str(step["label"]) for step in counterexample[1:])


def main() -> int:
    """Check everything; return 1 if a model fails or a broken variant passes."""
    failures = 0
    for module in MODELS:
        result = check(module)
        holds = not result.broken and not result.undecided
        failures += not holds
        print(f"{'ok  ' if holds else 'FAIL'} {result.name}: {result.states} states")
        for step in result.trace:
            print(f"       {step}")
        for variant, expected in module.VARIANTS.items():
            result = check(module, variant)
            found = expected in result.broken
            failures += not found
            word = "ok  " if found else "FAIL"
            print(f"{word} {result.name}: breaks {expected} in {len(result.trace)} steps")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
