"""Strict conversion of plain YAML or JSON values into attrs classes; errors list all faults.

Field names end with their unit, so that ranges are checked by field name, alike in all classes.
"""

from __future__ import annotations

import difflib
import ipaddress
import math
from collections.abc import Callable, Iterator
from enum import StrEnum
from typing import Any, TypeVar, get_origin

import attrs
import cattrs
from cattrs.cols import list_structure_factory, mapping_structure_factory
from cattrs.gen import make_dict_structure_fn, override

from figwalk.state.published import MAX_KEY_MEMORY_S, CallRule, Preset, ServiceConfig
from figwalk.state.settings import Address, AgentSettings, BackendSettings, EntrySettings

T = TypeVar("T")

MAX_PORT = 65535

UNITS = {
    "s": "seconds",
    "ms": "milliseconds",
    "bytes": "bytes",
    "ratio": "a ratio from 0 to 1",
    "us": "microseconds",
    "min": "minutes",
    "h": "hours",
    "sec": "seconds",
    "seconds": "seconds",
    "minutes": "minutes",
    "hours": "hours",
    "kb": "kilobytes",
    "mb": "megabytes",
    "kib": "kibibytes",
    "mib": "mebibytes",
    "percent": "percent",
}

CHOICES: dict[tuple[type, str], tuple[str, ...]] = {
    (EntrySettings, "log_format"): ("json", "console"),
    (AgentSettings, "log_format"): ("json", "console"),
    (BackendSettings, "kind"): ("engine", "plain"),
    (ServiceConfig, "kind"): ("model", "plain"),
    (Preset, "role_policy"): ("adaptive", "threshold", "fixed"),
    (Preset, "routing_policy"): ("predicted", "least_load", "round_robin"),
    (CallRule, "method"): ("POST", "PUT", "PATCH", "DELETE", "GET"),
}

# For these fields, zero would mean "never" or cause a busy loop.
POSITIVE_FIELDS = frozenset(
    {
        "config_deadline_ms",
        "departure_deadline_ms",
        "first_token_s",
        "idle_timeout_s",
        "key_memory_limit",
        "key_memory_s",
        "lease_ttl_s",
        "log_timeout_s",
        "max_body_bytes",
        "max_connections",
        "max_header_bytes",
        "max_held_mb",
        "max_output_tokens",
        "max_prompt_tokens",
        "max_running",
        "queue_limit",
        "receive_timeout_s",
        "report_s",
        "report_timeout_s",
        "role_change_weight",
        "share",
        "timeout_s",
        "vms_poll_s",
    }
)
NAME_FIELDS = frozenset({"name", "process", "region", "service", "zone"})
CONNECT_FIELDS = frozenset({"address", "log", "statsd", "vms"})


class InvalidValueError(ValueError):
    """A value has the wrong type or is out of range; the message contains the remedy."""


def structure(value: object, cls: type[T]) -> T:
    """Return the typed form of a plain value.

    Raises:
        cattrs.BaseValidationError: Parts of the value are not valid; `list_faults` lists them.
        InvalidValueError: The value as a whole has the wrong type.
    """
    return _CONVERTER.structure(value, cls)


def unstructure(value: object) -> Any:
    """Return the plain JSON form of a typed value."""
    return _CONVERTER.unstructure(value)


def list_faults(error: BaseException, path: str = "") -> Iterator[str]:
    """Yield one line `KEY: fault; remedy` for each fault in an error of `structure`.

    Args:
        error: Error raised by `structure`.
        path: Key of the structured value; empty for a whole file.
    """
    if isinstance(error, cattrs.ClassValidationError):
        located, rest = error.group_exceptions()
        for inner, note in located:
            yield from list_faults(inner, f"{path}.{note.name}" if path else note.name)
        for inner in rest:
            yield from list_faults(inner, path)
    elif isinstance(error, cattrs.IterableValidationError):
        located, rest = error.group_exceptions()
        for inner, note in located:
            yield from list_faults(inner, _item_path(path, note.index))
        for inner in rest:
            yield from list_faults(inner, path)
    elif isinstance(error, cattrs.ForbiddenExtraKeysError):
        known = [field.name for field in attrs.fields(error.cl)]
        for key in sorted(map(str, error.extra_fields)):
            yield f"{path}.{key}: {describe_unknown_key(key, known)}".removeprefix(".")
    elif isinstance(error, KeyError):
        yield f"{path}: missing key; add it"
    else:
        yield f"{path}: {error}" if path else str(error)


def describe_unknown_key(key: str, known: list[str]) -> str:
    """Return the fault and the remedy for an unknown key: a missing unit, or the nearest key."""
    stem, unit = _split_unit(key)
    for name in known:
        known_stem, known_unit = _split_unit(name)
        if known_unit and known_stem == stem:
            found = f"{UNITS[unit]} are not accepted" if unit else "the unit is missing"
            return f"unknown key, {found}; give {UNITS[known_unit]} under {name!r}"
    nearest = difflib.get_close_matches(key, known, n=1, cutoff=0.5)
    if nearest:
        return f"unknown key; did you mean {nearest[0]!r}?"
    return f"unknown key; known keys are {', '.join(known)}"


def _split_unit(key: str) -> tuple[str, str]:
    stem, _, unit = key.rpartition("_")
    return (stem, unit) if stem and unit in UNITS else (key, "")


def _item_path(path: str, index: object) -> str:
    if isinstance(index, int):
        return f"{path}[{index}]"
    return f"{path}.{index}" if path else str(index)


def _describe_type(value: object) -> str:
    if value is None:
        return "nothing"
    names = {bool: "true or false", int: "a number", float: "a number", str: "text"}
    names |= {list: "a list", dict: "a mapping"}
    return names.get(type(value), f"a {type(value).__name__}")


def _structure_text(value: object, _type: object) -> str:
    if not isinstance(value, str):
        raise InvalidValueError(f"expected text, found {_describe_type(value)}; write it in quotes")
    return value


def _structure_integer(value: object, _type: object) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise InvalidValueError(
            f"expected a whole number, found {_describe_type(value)}; write digits without quotes"
        )
    return value


def _structure_number(value: object, _type: object) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise InvalidValueError(
            f"expected a number, found {_describe_type(value)}; "
            "write digits without quotes and unit"
        )
    if not math.isfinite(value):
        raise InvalidValueError(f"{value} is not a finite number; give a finite one")
    return float(value)


def _structure_flag(value: object, _type: object) -> bool:
    if not isinstance(value, bool):
        raise InvalidValueError(
            f"expected true or false, found {_describe_type(value)}; write true or false"
        )
    return value


def _structure_enum(value: object, kind: type[StrEnum]) -> StrEnum:
    text = _structure_text(value, str)
    _check_choice(text, tuple(member.value for member in kind))
    return kind(text)


def _structure_address(value: object, _type: object) -> Address:
    """Convert `HOST:PORT`, or a mapping with host and port, to an address."""
    if isinstance(value, str):
        host, _, port = value.rpartition(":")
        if not port.isascii() or not port.isdigit():
            raise InvalidValueError(
                f"{value!r} is not an address; write it as HOST:PORT, for example 127.0.0.1:8080"
            )
        value = {"host": host.strip("[]"), "port": int(port)}
    return _ADDRESS_HOOK(value, Address)


def _check_field(cls: type, name: str, value: Any) -> Any:
    """Return a structured value of a field; raise InvalidValueError if it is out of range."""
    _check_choice(value, CHOICES.get((cls, name), ()))
    if isinstance(value, Address):
        _check_connect_port(name, value)
    elif isinstance(value, int | float) and not isinstance(value, bool):
        _check_number(name, value)
    elif name in NAME_FIELDS and value == "":
        raise InvalidValueError("the text is empty; give a name")
    elif name == "host":
        _check_host(value)
    elif cls is CallRule and name == "path" and not value.startswith("/"):
        raise InvalidValueError(f"{value!r} is not a path; start it with a slash")
    return value


def _check_choice(value: Any, choices: tuple[str, ...]) -> None:
    if not choices or value in choices:
        return
    nearest = difflib.get_close_matches(value, choices, n=1)
    hint = f"did you mean {nearest[0]!r}? " if nearest else ""
    raise InvalidValueError(f"{value!r} is not known; {hint}use one of {', '.join(choices)}")


def _check_number(name: str, value: float) -> None:
    if name == "key_memory_s" and value > MAX_KEY_MEMORY_S:
        raise InvalidValueError(f"{value:g} is too large; give at most {MAX_KEY_MEMORY_S} seconds")
    if name == "port" and not 0 <= value <= MAX_PORT:
        raise InvalidValueError(f"port {value} is out of range; use 0 to {MAX_PORT}")
    if name.endswith("_ratio") and not 0 <= value <= 1:
        raise InvalidValueError(f"ratio {value} is out of range; use 0 to 1")
    unit = UNITS.get(_split_unit(name)[1], "")
    if value < 0:
        kind = "duration" if unit.endswith("seconds") else "number"
        raise InvalidValueError(f"{kind} {value} is negative; give 0 or more {unit}".rstrip())
    if value == 0 and name in POSITIVE_FIELDS:
        raise InvalidValueError(f"0 is too small; give more than 0 {unit}".rstrip())


def _check_host(value: str) -> None:
    try:
        ipaddress.ip_address(value)
    except ValueError:
        raise InvalidValueError(
            f"{value!r} is not an IP number; give one, for example 127.0.0.1"
        ) from None


def _check_connect_port(name: str, value: Address) -> None:
    if name in CONNECT_FIELDS and value.port == 0:
        raise InvalidValueError(
            "port 0 is for listening addresses only; give the port that the server listens on"
        )


def _make_class_hook(cls: type, converter: cattrs.Converter) -> Callable[[Any, Any], Any]:
    """Return the hook of an attrs class: it accepts mappings with known keys and valid values."""

    def make_field_hook(name: str) -> Callable[[Any, Any], Any]:
        def hook(value: Any, kind: Any) -> Any:
            return _check_field(cls, name, converter.structure(value, kind))

        return hook

    fields = attrs.fields(attrs.resolve_types(cls))
    overrides = {field.name: override(struct_hook=make_field_hook(field.name)) for field in fields}
    build = make_dict_structure_fn(cls, converter, _cattrs_forbid_extra_keys=True, **overrides)

    def structure_class(value: Any, kind: Any) -> Any:
        if not isinstance(value, dict):
            names = ", ".join(field.name for field in fields)
            raise InvalidValueError(
                f"expected a mapping, found {_describe_type(value)}; give the keys {names}"
            )
        return build(value, kind)

    return structure_class


def _make_container_hook(
    container: type, name: str, make_hook: Callable[..., Callable[[Any, Any], Any]]
) -> Callable[[Any, cattrs.Converter], Callable[[Any, Any], Any]]:
    """Return a hook factory that refuses values of any other type than the container."""

    def factory(kind: Any, converter: cattrs.Converter) -> Callable[[Any, Any], Any]:
        build = make_hook(kind, converter)

        def structure_container(value: Any, actual: Any) -> Any:
            if not isinstance(value, container):
                raise InvalidValueError(
                    f"expected {name}, found {_describe_type(value)}; write {name} under the key"
                )
            return build(value, actual)

        return structure_container

    return factory


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(detailed_validation=True, forbid_extra_keys=True)
    converter.register_structure_hook(str, _structure_text)
    # Without its own hook, cattrs would convert a StrEnum with the hook of its base class str.
    converter.register_structure_hook(StrEnum, _structure_enum)
    converter.register_structure_hook(int, _structure_integer)
    converter.register_structure_hook(float, _structure_number)
    converter.register_structure_hook(bool, _structure_flag)
    converter.register_structure_hook_factory(attrs.has, _make_class_hook)
    converter.register_structure_hook_factory(
        lambda kind: get_origin(kind) is list,
        _make_container_hook(list, "a list", list_structure_factory),
    )
    converter.register_structure_hook_factory(
        lambda kind: get_origin(kind) is dict,
        _make_container_hook(dict, "a mapping", mapping_structure_factory),
    )
    converter.register_structure_hook(Address, _structure_address)
    return converter


_CONVERTER = _make_converter()
_ADDRESS_HOOK = _make_class_hook(Address, _CONVERTER)
