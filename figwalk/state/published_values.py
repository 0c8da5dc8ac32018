"""Published configuration values with their paths, and their validation by path."""

from __future__ import annotations

import re
from enum import StrEnum
from typing import Any

import attrs
import cattrs

from figwalk.errors import SettingsError
from figwalk.state._structuring import InvalidValueError, list_faults, structure, unstructure
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

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}")


class WithdrawalMode(StrEnum):
    """How a backend server leaves service.

    With `drain`, running calls have no time limit; with `withdraw`, streams are moved to other
    backend servers when the grace time is over.
    """

    DRAIN = "drain"
    WITHDRAW = "withdraw"


@attrs.frozen
class Withdrawal:
    """Value of `withdrawn/<backend>`."""

    mode: WithdrawalMode = WithdrawalMode.WITHDRAW


PublishedObject = Preset | ServiceConfig | OrganisationConfig | Withdrawal | Limits

VALUE_CLASSES: dict[str, type] = {
    PRESETS_PREFIX: Preset,
    SERVICES_PREFIX: ServiceConfig,
    ORGANISATIONS_PREFIX: OrganisationConfig,
    WITHDRAWN_PREFIX: Withdrawal,
}


@attrs.frozen
class PublishedValue:
    """A configuration path and its new value.

    Attributes:
        path: Configuration path, for example `presets/peak`.
        value: Typed value; the name of a preset for `preset_in_force`; None deletes the path.
    """

    path: str
    value: PublishedObject | str | None

    @property
    def json_value(self) -> Any:
        """The value in its published JSON form."""
        return unstructure(self.value)


def find_value_class(path: str) -> type | None:
    """Return the class of the value at a path, or None if the path is not known."""
    if path == LIMITS_PATH:
        return Limits
    if path == PRESET_IN_FORCE_PATH:
        return str
    prefix, slash, name = path.partition("/")
    return VALUE_CLASSES.get(prefix + slash) if is_name(name) else None


def parse_published_value(path: str, value: object) -> PublishedValue:
    """Return the typed form of a published JSON value.

    Args:
        path: Configuration path.
        value: JSON value; None deletes the path.

    Raises:
        SettingsError: The path is not known or the value is not valid; the error lists all faults.
    """
    cls = find_value_class(path)
    if cls is None:
        known = [f"{prefix}NAME" for prefix in VALUE_CLASSES]
        paths = ", ".join([*known, PRESET_IN_FORCE_PATH, LIMITS_PATH])
        raise SettingsError([f"{path}: unknown path; use one of {paths}"])
    if value is None and path == PRESET_IN_FORCE_PATH:
        raise SettingsError([f"{path}: can't be deleted; put another preset in force"])
    if value is None:
        return PublishedValue(path, None)
    try:
        typed = structure(value, cls)
    except (cattrs.BaseValidationError, InvalidValueError) as error:
        raise SettingsError(list(list_faults(error, path))) from error
    faults = [f"{path}{fault}" for fault in list_service_faults(typed)]
    if typed == "":
        faults.append(f"{path}: the text is empty; give the name of a published preset")
    if faults:
        raise SettingsError(faults)
    return PublishedValue(path, typed)


def list_service_faults(value: object) -> list[str]:
    """Return the contradictions between the keys of a service, each starting with `.KEY`.

    A value of another class has none.
    """
    if not isinstance(value, ServiceConfig):
        return []
    if value.kind == "model" and not value.models:
        return [".models: a model service has no models; name at least one"]
    if value.kind == "model" and value.non_repeatable:
        return [".non_repeatable: only plain services have such calls; remove the key"]
    if value.kind == "plain" and value.models:
        return [".models: a plain service serves no models; remove the key"]
    return []


def is_name(name: str) -> bool:
    """Return whether a string is valid as the last part of a path."""
    return NAME_PATTERN.fullmatch(name) is not None


def describe_name(name: str) -> str:
    """Return the fault and the remedy for a string that is not a valid name."""
    return f"{name!r} is not a name; use 1 to 128 letters, digits, '-', '_' and '.'"
