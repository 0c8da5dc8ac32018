import textwrap

import attrs
import pytest

from figwalk.errors import SettingsError
from figwalk.state.gateway_settings import GatewaySettings
from figwalk.state.published_values import parse_published_value
from figwalk.state.settings import Address, AgentSettings, EntrySettings
from figwalk.state.settings_file import (
    check_file,
    dump_settings,
    load_published,
    load_settings,
)

ENTRY = """\
kind: entry
process: entry-1
zone: rajkot-a
region: saurashtra
callers: 127.0.0.1:8080
peers: {host: 127.0.0.1, port: 0}
admin: 127.0.0.1:8090
platform:
  log: 127.0.0.1:7001
  vms: 127.0.0.1:7002
"""
GATEWAY_FILE = """\
kind: gateway
process: gateway-1
zone: rajkot-a
region: saurashtra
regions: {rajkot-a: saurashtra}
callers: 127.0.0.1:8080
health: 127.0.0.1:8081
metrics: 127.0.0.1:8082
agents_port: 7000
store: 127.0.0.1:7001
retry: {ratio: 0.3, slack: 9}
"""
PUBLISHED = """\
kind: published
presets:
  peak: {role_change_weight: 0.5}
preset_in_force: peak
services:
  llm: {kind: model, models: [ballast-7b]}
  depot:
    kind: plain
    non_repeatable: [{method: POST, path: /orders/water-calcium}]
organisations:
  old: null
withdrawn:
  llm-2: {mode: drain}
limits: {key_memory_s: 3600}
"""


@pytest.fixture
def write(tmp_path):
    def write(text):
        path = tmp_path / "file.yaml"
        path.write_text(textwrap.dedent(text))
        return path

    return write


def faults_of(load, *arguments):
    with pytest.raises(SettingsError) as caught:
        load(*arguments)
    return caught.value.faults


def test_entry_settings_are_typed(write):
    settings = load_settings(write(ENTRY + "grace_s: 7\n"), EntrySettings)
    assert settings.callers == Address("127.0.0.1", 8080)
    assert settings.peers == Address("127.0.0.1", 0)
    assert isinstance(settings.grace_s, float)
    assert load_settings(write(dump_settings(settings)), EntrySettings) == settings


def test_all_faults_are_listed_at_once(write):
    """Guards against a check that stops at the first fault, so that operators need many runs."""
    path = write(
        ENTRY.replace("8080", "80800").replace("process: entry-1\n", "")
        + "grace_ms: 500\nlease_ttl_s: -1\nzonne: x\nreport_timeout_s: 1s\nlimits: [1]\n"
    )
    faults = faults_of(load_settings, path, EntrySettings)
    text = "\n".join(faults)
    assert len(faults) == 7
    assert all(fault.startswith(f"{path}: ") for fault in faults)
    assert "callers.port: port 80800 is out of range; use 0 to 65535" in text
    assert "process: missing key; add it" in text
    assert (
        "grace_ms: unknown key, milliseconds are not accepted; give seconds under 'grace_s'" in text
    )
    assert "lease_ttl_s: duration -1.0 is negative; give 0 or more seconds" in text
    assert "zonne: unknown key; did you mean 'zone'?" in text
    assert "report_timeout_s: expected a number, found text" in text
    assert "limits: expected a mapping, found a list" in text


@pytest.mark.parametrize(
    ("line", "fault"),
    [
        ("grace: 5", "grace: unknown key, the unit is missing; give seconds under 'grace_s'"),
        ("lease_ttl_s: 0", "lease_ttl_s: 0 is too small"),
        ("grace_s: .nan", "grace_s: nan is not a finite number"),
        ("grace_s: true", "grace_s: expected a number, found true or false"),
        ("log_format: jsn", "log_format: 'jsn' is not known; did you mean 'json'?"),
        ("limits: {max_connections: 1.5}", "limits.max_connections: expected a whole number"),
        ("limits: {max_body_kb: 5}", "limits.max_body_kb: unknown key, kilobytes are not accepted"),
        ("zone: kigali-a", "zone: repeated on line 11; keep one"),
        ("true: 1", "True: unknown key"),
    ],
)
def test_fault_contains_key_and_remedy(write, line, fault):
    (found,) = faults_of(load_settings, write(ENTRY + line + "\n"), EntrySettings)
    assert fault in found


@pytest.mark.parametrize(
    ("old", "new", "fault"),
    [
        ("callers: 127.0.0.1:8080", "callers: localhost:1", "'localhost' is not an IP number"),
        ("callers: 127.0.0.1:8080", "callers: here", "write it as HOST:PORT"),
        ("127.0.0.1:7001", "127.0.0.1:0", "platform.log: port 0 is for listening"),
        ("region: saurashtra", "region: ''", "region: the text is empty"),
        ("zone: rajkot-a", "zone: 3", "zone: expected text, found a number"),
        ("kind: entry", "kind: agent", "this file must be 'kind: entry'"),
    ],
)
def test_invalid_value_of_a_key_is_refused(write, old, new, fault):
    (found,) = faults_of(load_settings, write(ENTRY.replace(old, new)), EntrySettings)
    assert fault in found


def test_unreadable_files_are_settings_errors(write, tmp_path):
    """Guards against a traceback, or the admin token in an error about invalid YAML."""
    (missing,) = faults_of(load_settings, tmp_path / "none.yaml", AgentSettings)
    assert "No such file" in missing
    (broken,) = faults_of(check_file, write("kind: entry\nadmin_token: s3cret: x\n"))
    assert "line 2" in broken
    assert "not valid YAML" in broken
    assert "s3cret" not in broken
    (empty,) = faults_of(check_file, write(""))
    assert "no keys" in empty
    (unknown,) = faults_of(check_file, write("a: 1\n"))
    assert (
        "kind: missing key; give 'kind: entry | agent | gateway | prompt_agent | published'"
        in unknown
    )


def test_published_file_yields_paths_and_values(write):
    published = load_published(write(PUBLISHED))
    assert [value.path for value in published.values] == [
        "presets/peak",
        "preset_in_force",
        "services/llm",
        "services/depot",
        "organisations/old",
        "withdrawn/llm-2",
        "limits",
    ]
    assert published.find("withdrawn/llm-2").json_value == {"mode": "drain"}
    assert published.find("organisations/old").json_value is None
    assert published.find("services/depot").json_value["non_repeatable"] == [
        {"method": "POST", "path": "/orders/water-calcium"}
    ]
    for value in published.values:
        assert parse_published_value(value.path, value.json_value) == value


@pytest.mark.parametrize(
    ("old", "new", "fault"),
    [
        ("preset_in_force: peak", "preset_in_force: peek", "did you mean 'peak'?"),
        ("path: /orders", "path: orders", "services.depot.non_repeatable[0].path: 'orders"),
        ("models: [ballast-7b]", "models: ballast", "services.llm.models: expected a list"),
        (", models: [ballast-7b]", "", "services/llm.models: a model service has no models"),
        ("mode: drain", "mode: stop", "withdrawn.llm-2.mode: "),
        ("llm-2: {", "a/b: {", "'a/b' is not a name"),
        ("kind: published\n", "", "this file must be 'kind: published'"),
        ("limits:", "limit:", "limit: unknown key; did you mean 'limits'?"),
    ],
)
def test_fault_in_a_published_file_is_reported(write, old, new, fault):
    (found,) = faults_of(load_published, write(PUBLISHED.replace(old, new)))
    assert fault in found


@pytest.mark.parametrize(
    ("path", "value"),
    [
        ("presets/peak", {"role_change_weight": "x"}),
        ("presets/", {}),
        ("preset_in_force", ""),
        ("preset_in_force", None),
        ("elsewhere", 1),
        ("limits", {"key_memory_ms": 3}),
        ("services/x", {"kind": "model"}),
    ],
)
def test_published_value_from_the_wire_is_checked(path, value):
    """Guards against an invalid value that reaches all processes because no file check saw it."""
    (fault,) = faults_of(parse_published_value, path, value)
    assert fault.startswith(path)


def test_environment_overrides_the_settings_of_a_gateway(tmp_path):
    """Guards against settings of the environment that are lost, or that hide the file's."""
    path = tmp_path / "gateway.yaml"
    path.write_text(GATEWAY_FILE)
    plain = load_settings(path, GatewaySettings)
    assert load_settings(path, GatewaySettings, environment={"HOME": "/"}) == plain
    environment = {
        "FIGWALK__MEMORY_MB": "120",
        "FIGWALK__LEASE__REQUIRE_FENCING": "true",
        "FIGWALK__RETRY__SLACK": "5",
        "FIGWALK__DUTIES__ADDRESS": "",
        "FIGWALK__DUTIES__TASKS": "null",
    }
    settings = load_settings(path, GatewaySettings, environment=environment)
    assert (settings.memory_mb, settings.lease.require_fencing) == (120, True)
    assert settings.retry == attrs.evolve(plain.retry, slack=5)
    assert settings.duties is None


@pytest.mark.parametrize(
    ("name", "value"),
    [("FIGWALK__ZONE__NAME", "x"), ("FIGWALK__MEMORY_MB", "{"), ("FIGWALK__X", "1")],
)
def test_wrong_override_names_its_variable_or_key(tmp_path, name, value):
    """Guards against an override that ends the process with a traceback, or does nothing."""
    path = tmp_path / "gateway.yaml"
    path.write_text(GATEWAY_FILE)
    with pytest.raises(SettingsError):
        load_settings(path, GatewaySettings, environment={name: value})
