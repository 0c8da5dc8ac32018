"""Checks published values against the classes of `figwalk.state.published`."""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import Any

import attrs
import cattrs

from figwalk.errors import SettingsError
from figwalk.protocol.records import JsonValue
from figwalk.state.published import (
    LIMITS_PATH,
    ORGANISATIONS_PREFIX,
    PRESET_IN_FORCE_PATH,
    PRESETS_PREFIX,
    SERVICES_PREFIX,
    WITHDRAWN_PREFIX,
    Limits,
    OrganisationConfig,
    Preset,
    ServiceConfig,
)

ROLE_POLICIES = ("adaptive", "threshold", "fixed")
ROUTING_POLICIES = ("predicted", "least_load", "round_robin")
MAX_KEY_MEMORY_S = 31_536_000  # One year.
SERVICE_KINDS = ("model", "plain")
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}")


@attrs.frozen
class Withdrawal:
    """Value of `withdrawn/<backend>`; a plain `true` is accepted for it as well.

    Attributes:
        reason: Text for operators.
    """

    reason: str = ""


def _structure_exact(value: Any, cls: type) -> Any:
    if type(value) is not cls:
        raise TypeError(f"must be {cls.__name__}, not {type(value).__name__}")
    return value


def _structure_float(value: Any, _: type) -> float:
    if type(value) not in (int, float):
        raise TypeError(f"must be a number, not {type(value).__name__}")
    number = float(value)
    if number != number or number in (float("inf"), float("-inf")):
        raise ValueError("must be a finite number")
    return number


def _create_converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True)
    converter.register_structure_hook(str, _structure_exact)
    converter.register_structure_hook(int, _structure_exact)
    converter.register_structure_hook(float, _structure_float)
    return converter


_CONVERTER = _create_converter()

_CLASSES: dict[str, type] = {
    PRESETS_PREFIX: Preset,
    SERVICES_PREFIX: ServiceConfig,
    ORGANISATIONS_PREFIX: OrganisationConfig,
    WITHDRAWN_PREFIX: Withdrawal,
}


def find_class(path: str) -> type | None:
    """Return the class of the value at a path, or None if the path is not a known one."""
    if path == LIMITS_PATH:
        return Limits
    if path == PRESET_IN_FORCE_PATH:
        return str
    for prefix, cls in _CLASSES.items():
        if path.startswith(prefix) and NAME_PATTERN.fullmatch(path[len(prefix) :]):
            return cls
    return None


def parse_value(path: str, value: JsonValue) -> Any:
    """Return the typed value of a configuration path.

    Raises:
        SettingsError: The path is not known or the value does not fit it; names every fault.
    """
    cls = find_class(path)
    if cls is None:
        raise SettingsError([f"{path}: not a configuration path"])
    if cls is Withdrawal and value is True:
        return Withdrawal()
    try:
        parsed = _CONVERTER.structure(value, cls)
    except Exception as error:
        raise SettingsError(_list_faults(path, error)) from error
    faults = [f"{path}.{fault}" for fault in _check_ranges(parsed)]
    if faults:
        raise SettingsError(faults)
    return parsed


def _list_faults(path: str, error: Exception) -> list[str]:
    if not isinstance(error, cattrs.BaseValidationError):
        return [f"{path}: {error}"]
    faults = cattrs.transform_error(error, path=path, format_exception=_format_fault)
    return [_put_path_first(fault) for fault in faults]


def _put_path_first(fault: str) -> str:
    text, _, where = fault.rpartition(" @ ")
    return f"{where}: {text}"


def _format_fault(error: BaseException, _: type | None) -> str:
    if isinstance(error, cattrs.ForbiddenExtraKeysError):
        return f"unknown keys {', '.join(sorted(error.extra_fields))}"
    if isinstance(error, KeyError):
        return "required key is missing"
    return str(error)


def _check_ranges(value: Any) -> list[str]:
    check = _RANGE_CHECKS.get(type(value))
    return check(value) if check else []


def _check_preset(preset: Preset) -> list[str]:
    return [
        *_require_choice("role_policy", preset.role_policy, ROLE_POLICIES),
        *_require_choice("routing_policy", preset.routing_policy, ROUTING_POLICIES),
        *_require_range("role_change_weight", preset.role_change_weight, 0, None),
        *_require_range("region_penalty_ms", preset.region_penalty_ms, 0, None),
        *_require_range("retry_ratio", preset.retry_ratio, 0, 1),
        *_require_range("min_dwell_s", preset.min_dwell_s, 0, None),
    ]


def _check_service(service: ServiceConfig) -> list[str]:
    faults = [
        *_require_choice("kind", service.kind, SERVICE_KINDS),
        *_require_positive("timeout_s", service.timeout_s),
        *_require_positive("first_token_s", service.first_token_s),
        *_require_positive("max_output_tokens", service.max_output_tokens),
        *_require_positive("max_prompt_tokens", service.max_prompt_tokens),
    ]
    for index, rule in enumerate(service.non_repeatable):
        name = f"non_repeatable[{index}]"
        if not rule.path.startswith("/"):
            faults.append(f"{name}.path: must start with a slash")
        if rule.method != rule.method.upper() or not rule.method.isalpha():
            faults.append(f"{name}.method: must be an HTTP method in capitals")
    return faults


def _check_organisation(organisation: OrganisationConfig) -> list[str]:
    return _require_positive("share", organisation.share)


def _check_limits(limits: Limits) -> list[str]:
    return _require_range("key_memory_s", limits.key_memory_s, 1, MAX_KEY_MEMORY_S)


_RANGE_CHECKS: dict[type, Callable[[Any], list[str]]] = {
    Preset: _check_preset,
    ServiceConfig: _check_service,
    OrganisationConfig: _check_organisation,
    Limits: _check_limits,
}


def _require_choice(name: str, value: str, choices: tuple[str, ...]) -> list[str]:
    if value in choices:
        return []
    return [f"{name}: {value!r} is not one of {', '.join(choices)}"]


def _require_range(name: str, value: float, low: float, high: float | None) -> list[str]:
    if value < low or (high is not None and value > high):
        limit = f"at least {low}" if high is None else f"from {low} to {high}"
        return [f"{name}: must be {limit}, not {value}"]
    return []


def _require_positive(name: str, value: float) -> list[str]:
    return [] if value > 0 else [f"{name}: must be above 0, not {value}"]
