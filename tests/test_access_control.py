"""Tests which organisation a call belongs to, without a network."""

import json

import pytest
from support.fake_timer import FakeTimer

from figwalk.coordination.compacted_log import CompactedLog, KeyedPage, KeyedRecord
from figwalk.errors import CallerError, RefusalError
from figwalk.events import EventLog
from figwalk.gateway.gateway_metrics import GatewayMetrics
from figwalk.gateway.topic_handlers import RoutingReader
from figwalk.organisations.access_control import AccessControl
from figwalk.organisations.config_confirmation import ConfigConfirmation, ConfirmingLog
from figwalk.platform import CONFIG_KEY, PlatformCallerCodec, decode_routing
from figwalk.state.gateway_settings import RevocationSettings
from figwalk.transport import HttpRequest
from standins.platform_config import make_config, make_organisation

OTHER = make_organisation("other", "k-other")


class Gateway:
    """The parts of a gateway that decide on keys."""

    def __init__(self, **revocation):
        self.timer = FakeTimer()
        self.events = EventLog("test", self.timer)
        settings = RevocationSettings(**revocation)
        self.confirmation = ConfigConfirmation(settings, self.events, self.timer)
        self.access = AccessControl(
            lambda: self.reader.current, self.confirmation, GatewayMetrics(), self.events
        )
        self.reader = RoutingReader(
            CONFIG_KEY, decode_routing, self.events, on_adopted=self.access.record_adopted
        )

    def read(self, version, *organisations):
        """Apply a record of the configuration."""
        value = json.dumps(make_config(version, tenants=list(organisations))).encode()
        self.reader.apply(KeyedRecord(version, CONFIG_KEY, value))

    def name(self, key):
        """Return the name of the organisation of a key, or the status of the refusal."""
        routing = self.reader.current
        try:
            return self.access.authenticate(routing, routing.routes[0], key).name
        except (CallerError, RefusalError) as error:
            return error.status


def test_withdrawn_key_stays_withdrawn_whatever_is_read():
    """Guards against a repeated record or an older copy that makes a withdrawn key valid again."""
    gateway = Gateway()
    acme = make_organisation("acme", "k1", "k2")
    gateway.read(1, acme, OTHER)
    assert [gateway.name(key) for key in ("k1", "k2", "k-other")] == ["acme", "acme", "other"]
    gateway.read(2, make_organisation("acme", "k2"), OTHER)
    gateway.read(1, acme, OTHER)
    gateway.read(2, acme, OTHER)
    gateway.reader.handle_restore()
    gateway.reader.apply_key_set(frozenset())
    gateway.read(1, acme, OTHER)
    assert [gateway.name(key) for key in ("k1", "k2", "k-other")] == [401, "acme", "other"]
    restarted = Gateway()
    restarted.read(2, make_organisation("acme", "k2"), OTHER)
    assert [restarted.name(key) for key in ("k1", "k2")] == [401, "acme"]


@pytest.mark.parametrize("key", ["", "é", "\udcff", "k" * 10_000])
def test_odd_keys_are_refused_and_compared(key):
    """Guards against an empty key that is valid, and keys that can't be turned into a digest."""
    gateway = Gateway()
    gateway.read(1, make_organisation("acme", key))
    request = [(b"request-id", b"1"), (b"x-api-key", key.encode("utf-8", "surrogateescape"))]
    facts = PlatformCallerCodec().decode(HttpRequest("GET", "/check/x", request))
    assert gateway.name(facts.api_key) == ("acme" if key else 401)
    assert gateway.name("k-other") == 401


def test_counts_of_tokens_are_hints():
    """Guards against calls refused for a malformed hint, and numbers taken from one."""

    def decode(counts, hint):
        headers = [(b"request-id", b"1"), (b"token-counts", counts), (b"length-hint", hint)]
        facts = PlatformCallerCodec().decode(HttpRequest("GET", "/", headers))
        return facts.max_output_tokens, facts.expected_output_tokens

    assert decode(b"9190,20", b"7") == (20, 7)
    assert decode(b"9190, 20", b" 7 ") == (20, 7)
    for text in (b"", b"9190", b"1,2,3", b"1,-2", b"1,2.5", b"1," + b"9" * 5000):
        assert decode(text, b"-7") == (None, None)


class FakeLog(CompactedLog):
    """A log that gives pages of the eras that the test has set."""

    def __init__(self):
        self.era = 1

    async def read_newest(self, topic):
        """Return an empty page."""
        return KeyedPage(0, (), self.era)

    async def read(self, topic, offset, *, wait_s=0.0):
        """Return an empty page."""
        return KeyedPage(0, (), self.era)


@pytest.mark.parametrize("strict", [False, True])
def test_strict_revocation_needs_a_recent_confirmation(strict):
    """Guards against keys that stay valid for too long, and calls refused without that rule."""
    gateway = Gateway(strict=strict, max_age_ms=5000)
    gateway.read(1, OTHER)
    gateway.confirmation.confirm(gateway.timer.boot_now())
    gateway.timer.advance(4.9)
    gateway.confirmation.record_change()
    assert gateway.name("k-other") == "other"
    gateway.timer.advance(0.2)
    gateway.confirmation.record_change()
    assert gateway.name("k-other") == (503 if strict else "other")
    gateway.confirmation.confirm(gateway.timer.boot_now())
    gateway.confirmation.record_change()
    assert gateway.name("k-other") == "other"
    names = [record.name for record in gateway.events.select()]
    assert ("CONFIG_UNCONFIRMED" in names) == strict
    assert gateway.confirmation.limit_wait_s(1.6) == (1.5 if strict else 1.6)


@pytest.mark.parametrize("first_era", [1, None])
def test_only_answers_of_the_known_era_confirm(first_era):
    """Guards against an answer from before a restore that counts as a confirmation."""
    gateway = Gateway(strict=True)
    log = FakeLog()
    confirming = ConfirmingLog(log, gateway.confirmation, gateway.timer)
    log.era = first_era

    def run(function, *arguments):
        with pytest.raises(StopIteration):
            function(*arguments).send(None)
        return not gateway.confirmation.is_too_old

    assert run(confirming.read_newest, "t")
    gateway.timer.advance(10)
    log.era = 2
    assert not run(confirming.read, "t", 0)
    assert run(confirming.read_newest, "t")
    gateway.timer.advance(10)
    log.era = 1
    assert not run(confirming.read_newest, "t")
