from pathlib import Path

import pytest

from figwalk.state.settings import AgentSettings, EntrySettings
from figwalk.state.settings_file import load_published, load_settings

EXAMPLES = Path(__file__).parent.parent / "examples"


@pytest.mark.parametrize("user", ["bhumivar", "umugati"])
def test_example_deployment_is_consistent(user):
    """Guards against two processes on one address, and a backend server of an unknown service."""
    published = load_published(EXAMPLES / user / "published.yaml")
    entries = [load_settings(p, EntrySettings) for p in (EXAMPLES / user).glob("entry-*.yaml")]
    agents = [load_settings(p, AgentSettings) for p in (EXAMPLES / user).glob("agent-*.yaml")]
    assert (len(entries), len(agents)) == (2, 7)
    assert len({agent.zone for agent in agents}) == len({agent.region for agent in agents}) == 3
    addresses = [address for e in entries for address in (e.callers, e.peers, e.admin)]
    addresses += [address for a in agents for address in (a.peers, a.health, a.backend.address)]
    addresses += [entries[0].platform.log, entries[0].platform.vms]
    assert len(set(addresses)) == len(addresses)
    for agent in agents:
        kind = published.find(f"services/{agent.backend.service}").value.kind
        assert (agent.backend.kind, kind) in {("engine", "model"), ("plain", "plain")}


def test_role_change_weights_match_the_users_priorities():
    """Guards against presets that change roles often for the user for whom a change costs most."""
    for name in ("ordinary", "peak", "maintenance"):
        bhumivar = load_published(EXAMPLES / "bhumivar/published.yaml").find(f"presets/{name}")
        umugati = load_published(EXAMPLES / "umugati/published.yaml").find(f"presets/{name}")
        assert bhumivar.value.role_change_weight < 1 < umugati.value.role_change_weight


@pytest.mark.parametrize(
    ("user", "service", "path"),
    [
        ("bhumivar", "depot", "/orders/water-calcium"),
        ("umugati", "orders", "/payments"),
        ("umugati", "orders", "/dispatches"),
    ],
)
def test_calls_with_lasting_effects_need_a_key(user, service, path):
    """Guards against an order, payment or dispatch that a retry could run twice."""
    config = load_published(EXAMPLES / user / "published.yaml").find(f"services/{service}").value
    assert config.needs_key("POST", path)
    assert not config.needs_key("GET", "/stock/calcium")
