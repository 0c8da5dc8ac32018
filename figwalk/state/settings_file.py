"""Reads settings and published configuration from YAML files; errors list all faults at once.

The top-level key `kind` gives the kind of a file: `entry`, `agent`, `gateway`,
`prompt_agent` or `published`.
"""

from __future__ import annotations

from collections.abc import Hashable, Mapping
from enum import StrEnum
from pathlib import Path
from typing import Any, TypeVar

import attrs
import cattrs
import yaml

from figwalk.errors import SettingsError
from figwalk.state._structuring import (
    InvalidValueError,
    describe_unknown_key,
    list_faults,
    structure,
    unstructure,
)
from figwalk.state.gateway_settings import GatewaySettings, PromptAgentSettings
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
from figwalk.state.published_values import (
    PublishedValue,
    Withdrawal,
    describe_name,
    is_name,
    list_service_faults,
)
from figwalk.state.settings import AgentSettings, EntrySettings

T = TypeVar("T")

KIND_KEY = "kind"
OVERRIDE_PREFIX = "FIGWALK__"
OVERRIDE_SEPARATOR = "__"


class FileKind(StrEnum):
    """Kind of a file, the value of its key `kind`."""

    ENTRY = "entry"
    AGENT = "agent"
    GATEWAY = "gateway"
    PROMPT_AGENT = "prompt_agent"
    PUBLISHED = "published"


@attrs.frozen
class PublishedFile:
    """Content of a file of kind `published`, in the order of the file's sections."""

    values: tuple[PublishedValue, ...]

    def find(self, path: str) -> PublishedValue | None:
        """Return the value of a path, or None if the file does not contain the path."""
        return next((value for value in self.values if value.path == path), None)


@attrs.frozen
class _PublishedSections:
    """Sections of a file of kind `published`; a null value deletes its path."""

    presets: dict[str, Preset | None] = attrs.field(factory=dict)
    preset_in_force: str | None = None
    services: dict[str, ServiceConfig | None] = attrs.field(factory=dict)
    organisations: dict[str, OrganisationConfig | None] = attrs.field(factory=dict)
    withdrawn: dict[str, Withdrawal | None] = attrs.field(factory=dict)
    limits: Limits | None = None


_KINDS: dict[type, FileKind] = {
    EntrySettings: FileKind.ENTRY,
    AgentSettings: FileKind.AGENT,
    GatewaySettings: FileKind.GATEWAY,
    PromptAgentSettings: FileKind.PROMPT_AGENT,
}


def load_settings(
    path: str | Path, cls: type[T], *, environment: Mapping[str, str] | None = None
) -> T:
    """Read a settings file, and the settings that environment variables override.

    The key `kind` may be absent, because the class determines the kind; another kind is refused.
    The variable `FIGWALK__LEASE__DURATION_MS` overrides the key `duration_ms` of the section
    `lease`; its value is YAML. Variables that are empty or null are ignored.

    Args:
        path: YAML file.
        cls: Settings class of a process, for example `EntrySettings`.
        environment: Environment variables; others than those with the prefix are ignored.

    Raises:
        SettingsError: The settings can't be read or are not valid; the error lists all faults.
    """
    path = Path(path)
    content, faults = _read_mapping(path)
    faults += _check_kind(path, content.pop(KIND_KEY, None), _KINDS.get(cls))
    faults += _override(content, environment or {})
    return _structure_file(path, content, cls, faults)


def dump_settings(
    settings: EntrySettings | AgentSettings | GatewaySettings | PromptAgentSettings,
) -> str:
    """Return settings as YAML that `load_settings` accepts."""
    content = {KIND_KEY: _KINDS[type(settings)].value, **unstructure(settings)}
    return yaml.safe_dump(content, sort_keys=False)


def load_published(path: str | Path) -> PublishedFile:
    """Read a file of kind `published`.

    Raises:
        SettingsError: The file can't be read or is not valid; the error lists all faults.
    """
    path = Path(path)
    content, faults = _read_mapping(path)
    faults += _check_kind(path, content.pop(KIND_KEY, None), FileKind.PUBLISHED)
    sections = _structure_file(path, content, _PublishedSections, faults)
    faults = [f"{path}: {fault}" for fault in _check_sections(sections)]
    if faults:
        raise SettingsError(faults)
    return PublishedFile(tuple(_list_values(sections)))


def check_file(path: str | Path) -> FileKind:
    """Check a file of any kind, given by its key `kind`, which must be present.

    Returns:
        The kind of the file.

    Raises:
        SettingsError: The file can't be read or is not valid; the error lists all faults.
    """
    path = Path(path)
    kind = _read_mapping(path)[0].get(KIND_KEY)
    if kind not in set(FileKind):
        raise SettingsError([_describe_kind(path, kind)])
    if kind == FileKind.PUBLISHED:
        load_published(path)
    else:
        load_settings(path, next(cls for cls, name in _KINDS.items() if name == kind))
    return FileKind(kind)


def _override(content: dict[Any, Any], environment: Mapping[str, str]) -> list[str]:
    """Override settings by environment variables; return a fault for each that can't be used."""
    faults = []
    for name, text in sorted(environment.items()):
        if not name.startswith(OVERRIDE_PREFIX) or not text.strip():
            continue
        *sections, key = name.removeprefix(OVERRIDE_PREFIX).lower().split(OVERRIDE_SEPARATOR)
        try:
            value = yaml.safe_load(text)
        except (yaml.YAMLError, RecursionError, ValueError) as error:
            faults.append(f"{name}: not valid YAML: {error}; correct the variable")
            continue
        if value is None:
            continue
        target = content
        for section in sections:
            target = target.setdefault(section, {})
            if not isinstance(target, dict):
                faults.append(f"{name}: {section!r} is no section; correct the variable's name")
                break
        else:
            target[key] = value
    return faults


def _read_mapping(path: Path) -> tuple[dict[Any, Any], list[str]]:
    """Return the content of a YAML file, and a fault for each repeated key."""
    try:
        loader = _UniqueKeyLoader(path.read_bytes())
        try:
            content = loader.get_single_data()
        finally:
            loader.dispose()
    except OSError as error:
        raise SettingsError(
            [f"{path}: can't be read: {error.strerror}; check the path and its permissions"]
        ) from error
    except yaml.YAMLError as error:
        raise SettingsError([f"{path}{_describe_yaml_error(error)}"]) from error
    except (RecursionError, ValueError) as error:
        raise SettingsError([f"{path}: not valid YAML: {error}; correct the file"]) from error
    if not isinstance(content, dict):
        raise SettingsError(
            [f"{path}: the file has no keys; write settings as KEY: VALUE on lines of their own"]
        )
    return content, [f"{path}: {fault}" for fault in loader.faults]


class _UniqueKeyLoader(yaml.SafeLoader):
    """YAML loader that records repeated keys as faults; PyYAML would silently keep the last one."""

    def __init__(self, stream: bytes) -> None:
        super().__init__(stream)
        self.faults: list[str] = []

    def construct_mapping(self, node: yaml.MappingNode, deep: bool = False) -> dict[Hashable, Any]:
        seen: set[str] = set()
        for key_node, _ in node.value:
            key = getattr(key_node, "value", None)
            if not isinstance(key, str) or key == "<<":
                continue
            if key in seen:
                line = key_node.start_mark.line + 1
                self.faults.append(f"{key}: repeated on line {line}; keep one of them")
            seen.add(key)
        return super().construct_mapping(node, deep)


def _describe_yaml_error(error: yaml.YAMLError) -> str:
    """Return position and problem, but no excerpt of the file: it may contain the admin token."""
    mark = getattr(error, "problem_mark", None)
    place = f" line {mark.line + 1} column {mark.column + 1}" if mark else ""
    problem = getattr(error, "problem", None) or getattr(error, "reason", None) or "unreadable"
    return f"{place}: not valid YAML: {problem}; correct the syntax at this place"


def _check_kind(path: Path, kind: object, expected: FileKind | None) -> list[str]:
    if expected is None or kind == expected:
        return []
    if kind is None and expected is not FileKind.PUBLISHED:
        return []
    return [_describe_kind(path, kind, expected)]


def _describe_kind(path: Path, kind: object, expected: FileKind | None = None) -> str:
    kinds = " | ".join(FileKind)
    remedy = f"this file must be 'kind: {expected}'" if expected else f"give 'kind: {kinds}'"
    found = "missing key" if kind is None else f"{kind!r} does not fit"
    return f"{path}: {KIND_KEY}: {found}; {remedy}"


def _structure_file(path: Path, content: dict[Any, Any], cls: type[T], faults: list[str]) -> T:
    try:
        settings = structure(content, cls)
    except (cattrs.BaseValidationError, InvalidValueError) as error:
        faults += [f"{path}: {fault}" for fault in list_faults(error)]
    if faults:
        raise SettingsError(faults)
    return settings


def _check_sections(sections: _PublishedSections) -> list[str]:
    """Return invalid names and contradictions between values in a file of kind `published`."""
    faults = []
    for section in ("presets", "services", "organisations", "withdrawn"):
        names = getattr(sections, section)
        faults += [f"{section}: {describe_name(name)}" for name in names if not is_name(name)]
    chosen = sections.preset_in_force
    if chosen is not None and sections.presets and sections.presets.get(chosen) is None:
        known = [name for name, preset in sections.presets.items() if preset is not None]
        hint = describe_unknown_key(chosen, known).replace("unknown key", "unknown preset")
        faults.append(f"{PRESET_IN_FORCE_PATH}: {chosen!r}: {hint.replace('keys', 'presets')}")
    for name, service in sections.services.items():
        faults += [f"{SERVICES_PREFIX}{name}{fault}" for fault in list_service_faults(service)]
    return faults


def _list_values(sections: _PublishedSections) -> list[PublishedValue]:
    """Return the values of a file; the presets precede the path that selects one of them."""
    values = _list_section(PRESETS_PREFIX, sections.presets)
    if sections.preset_in_force is not None:
        values.append(PublishedValue(PRESET_IN_FORCE_PATH, sections.preset_in_force))
    values += _list_section(SERVICES_PREFIX, sections.services)
    values += _list_section(ORGANISATIONS_PREFIX, sections.organisations)
    values += _list_section(WITHDRAWN_PREFIX, sections.withdrawn)
    if sections.limits is not None:
        values.append(PublishedValue(LIMITS_PATH, sections.limits))
    return values


def _list_section(prefix: str, section: dict[str, Any]) -> list[PublishedValue]:
    return [PublishedValue(prefix + name, value) for name, value in section.items()]
