"""Checks the models and their broken variants: `python -m model.check [--traces]`.

Each broken variant lacks one rule of the protocol, and the checker must find a counterexample for
it. With `--traces`, the shortest counterexamples are printed.
"""

from __future__ import annotations

import importlib
import sys
from concurrent.futures import ProcessPoolExecutor
from types import ModuleType

import attrs
from minicheck import check_safety

from model import authority, configuration, duty_lease, keyed_calls

MAX_STATES = 3_000_000
MAX_PROCESSES = 5
SHOW_TRACES_OPTION = "--traces"
MODELS: tuple[ModuleType, ...] = (authority, configuration, duty_lease, keyed_calls)


@attrs.frozen
class Result:
    """Result of one check.

    Attributes:
        name: Model and variant.
        states: Number of reachable states.
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
    """Check a model or one of its broken variants.

    Args:
        module: Module of the model.
        variant: One of its `VARIANTS`, or an empty string for the model itself.
    """
    protocol = module.build(variant)
    report = check_safety(protocol, max_states=MAX_STATES)
    properties = report["properties"]
    broken = tuple(name for name, found in properties.items() if found["holds"] is False)
    undecided = tuple(name for name, found in properties.items() if found["holds"] is None)
    shown = module.VARIANTS.get(variant)
    shown = shown if shown in broken else next(iter(broken), None)
    trace = _trace(properties[shown]["counterexample"]) if shown else ()
    return Result(protocol.name, report["reachable_states"], broken, undecided, trace)


def _trace(counterexample: list[dict[str, object]]) -> tuple[str, ...]:
    return tuple(str(step["label"]) for step in counterexample[1:])


def main() -> int:
    """Check all models and variants; return 1 if a model fails or a broken variant passes."""
    checks = [(module, "") for module in MODELS]
    checks += [(module, variant) for module in MODELS for variant in module.VARIANTS]
    with ProcessPoolExecutor(MAX_PROCESSES) as pool:
        running = [pool.submit(_check_by_name, module.__name__, name) for module, name in checks]
        results = [future.result() for future in running]
    verdicts = [
        _judge(result, module.VARIANTS.get(variant))
        for (module, variant), result in zip(checks, results, strict=True)
    ]
    return 0 if all(verdicts) else 1


def _check_by_name(module: str, variant: str) -> Result:
    return check(importlib.import_module(module), variant)


def _judge(result: Result, expected: str | None) -> bool:
    """Print one result; return whether it is as expected.

    A model must satisfy all invariants; a broken variant must violate the invariant `expected`.
    """
    if expected is None:
        passed = not result.broken and not result.undecided
        print(f"{'ok  ' if passed else 'FAIL'} {result.name}: holds in {result.states} states")
    else:
        passed = expected in result.broken
        found = f"breaks {expected} in {len(result.trace)} steps"
        print(f"{'ok  ' if passed else 'FAIL'} {result.name}: {found}, {result.states} states")
    if not passed or SHOW_TRACES_OPTION in sys.argv:
        for step in result.trace:
            print(f"       {step}")
    return passed


if __name__ == "__main__":
    sys.exit(main())
