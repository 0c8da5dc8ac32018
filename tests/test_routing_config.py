"""Tests of route selection by host, path and weight."""

import random
from collections import Counter

from figwalk.state.routing import (
    CallerLimits,
    CallKind,
    Route,
    RoutingConfig,
    WeightedService,
)

ONLY = WeightedService("s", 1.0)
LIMITS = CallerLimits(1000, 1000, 1.0, 1.0)


def make_route(prefix, *, host="h.example", services=(ONLY,)):
    return Route(prefix, host, prefix, CallKind.IDEMPOTENT, tuple(services), 1.0, 1.0, 1)


def make_config(*routes):
    return RoutingConfig(1, routes, {}, LIMITS)


def test_longest_prefix_wins():
    """Guards against a call sent to the service of a route with a shorter prefix."""
    config = make_config(make_route("/a/"), make_route("/a/b/"), make_route("/"))
    assert config.match("h.example", "/a/b/c").name == "/a/b/"
    assert config.match("h.example", "/a/bc").name == "/a/"
    assert config.match("h.example", "/x").name == "/"


def test_prefix_ends_at_a_slash():
    """Guards against a route that matches paths which merely start with the same characters."""
    config = make_config(make_route("/a/"))
    assert config.match("h.example", "/ab/c") is None
    assert config.match("h.example", "/a") is None


def test_host_is_matched_without_case_and_port():
    """Guards against a valid call refused because of its host's letter case or port."""
    config = make_config(make_route("/a/"))
    assert config.match("H.Example:8080", "/a/x") is not None
    assert config.match("other.example", "/a/x") is None


def test_split_follows_the_weights():
    """Guards against a service that gets calls although its weight is zero."""
    shares = [WeightedService("a", 90), WeightedService("b", 10), WeightedService("c", 0)]
    route = make_route("/a/", services=shares)
    rng = random.Random(1)
    counts = Counter(route.pick_service(rng) for _ in range(1000))
    assert set(counts) == {"a", "b"}
    assert 50 <= counts["b"] <= 150
