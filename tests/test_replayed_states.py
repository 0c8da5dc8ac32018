import copy

import attrs
import pytest
from hypothesis import HealthCheck, example, given, settings
from hypothesis import strategies as st

from figwalk.errors import SettingsError
from figwalk.protocol.messages import NO_OFFSET, ConfigUpdate, Role
from figwalk.protocol.records import (
    Change,
    Claim,
    ClaimBatch,
    LeaseClaim,
    LeaseRenewal,
    Outcome,
    Publish,
    Release,
    RoleOrder,
    encode_entries,
)
from figwalk.state.claims import RECENT_IDS_WINDOW_MS, Claims
from figwalk.state.configuration import Configuration
from figwalk.state.control import VACANCY_MS, Control
from figwalk.state.published_values import parse_published_value
from tests.support.fake_log import START_MS, store

# Without time limits, so that a property doesn't fail on a busy machine.
PROPERTY = settings(deadline=None, suppress_health_check=[HealthCheck.too_slow])


def apply_all(state, records):
    for record in records:
        state.apply(record)
    return state


def start_at(state, records, start):
    state.skip_to(min(start, len(records)))
    return state


def publish(record_id, *changes):
    return Publish(record_id, "operator", [Change(*change) for change in changes])


def claims_of(record_id, *claim_ids, key="k", memory_s=86400):
    claims = [Claim(claim_id, "depot", "org", key, "d", "svc-1", 7) for claim_id in claim_ids]
    return ClaimBatch(record_id, [], claims, [], memory_s)


def find(claims, key="k"):
    record = claims.find("depot", "org", key)
    return record.claim.claim_id if record else None


def test_one_of_two_publications_from_the_same_base_is_accepted():
    """Guards against a publication that overwrites a concurrent one, fully or in part."""
    first = publish("a", ("presets/p", {"retry_ratio": 0.2}, 0))
    second = publish("b", ("presets/p", {}, 0), ("limits", {}, 0))
    configuration = apply_all(Configuration(), store([first, second]))
    assert configuration.result("a").revision == 1
    loser = configuration.result("b")
    assert (loser.accepted, loser.conflict_path, loser.revision) == (False, "presets/p", 1)
    assert configuration.get("limits") is None


def test_repeated_creation_does_not_undo_a_deletion():
    """Guards against a repeat that restores a path after its record id was forgotten."""
    create = publish("a", ("withdrawn/llm-1", {"mode": "drain"}, 0))
    records = store([create, publish("b", ("withdrawn/llm-1", None, 1)), create])
    late = attrs.evolve(records[2], record_id="forgotten")
    assert apply_all(Configuration(), [*records[:2], late]).withdrawn() == set()


def test_all_faults_of_a_value_are_reported_and_do_not_stop_a_reader():
    value = {"retry_ratio": "x", "min_dwell_s": True, "colour": 1}
    with pytest.raises(SettingsError) as caught:
        parse_published_value("presets/p", value)
    assert len(caught.value.faults) == 3
    text = " ".join(caught.value.faults)
    assert all(f in text for f in ("p.retry_ratio:", "p.min_dwell_s:", "colour"))
    record = publish("a", ("presets/p", value, 0), ("preset_in_force", "p", 0))
    assert apply_all(Configuration(), store([record])).preset_in_force().retry_ratio == 0.1


PATHS = ["withdrawn/a", "withdrawn/b", "withdrawn/c"]
STEPS = st.lists(
    st.tuples(
        st.sampled_from(PATHS),
        st.booleans(),  # whether the value is set or deleted
        st.integers(0, 3),  # how many revisions or records the writer is behind
        st.sampled_from(["publish", "publish", "publish", "repeat", "snapshot"]),
    ),
    min_size=12,
    max_size=24,
)


def build_config_log(steps):
    """Return a log of operators that read at different offsets, with repeats and snapshots."""
    records, readers, revisions = [], [Configuration()], {path: [0] for path in PATHS}
    for index, (path, present, behind, kind) in enumerate(steps):
        if kind == "snapshot":
            record = readers[max(0, index - behind)].create_snapshot(f"s{index}")
        elif kind == "repeat" and records:
            record = records[index // 2]
        else:
            base = revisions[path][max(-1 - behind, -len(revisions[path]))]
            record = publish(f"p{index}", (path, True if present else None, base))
        records.append(record)
        readers.append(copy.deepcopy(readers[-1]))
        result = readers[-1].apply(store([record], first=index)[0])
        if result and result.accepted:
            revisions[record.changes[0].path].append(result.revision)
    return store(records), readers


UPDATES = st.lists(st.tuples(st.integers(0, 10), st.integers(0, 24), st.booleans()), min_size=3)


@PROPERTY
@given(STEPS, st.integers(0, 10), UPDATES)
def test_configuration_matches_a_log_revision_and_never_goes_back(steps, start, updates):
    """Guards against a state that repeats, gaps or updates from other processes change."""
    records, prefixes = build_config_log(steps)
    entries = {prefix.revision: prefix.entries() for prefix in prefixes}
    reader, revision = start_at(Configuration(), records, start), 0
    for record in records[start:]:
        for _, length, full in [u for u in updates if u[0] == record.offset]:
            other = prefixes[min(length, len(records))]
            changes = other.entries_after(0 if full else reader.revision)
            reader.adopt(ConfigUpdate(other.revision, full, encode_entries(changes)))
        reader.apply(record)
        assert reader.revision >= revision
        assert reader.entries() == entries[reader.revision]
        revision = reader.revision
        if reader.complete:
            full = prefixes[record.offset + 1]
            assert reader.create_snapshot("x") == full.create_snapshot("x")


def test_stale_and_repeated_orders_have_no_effect():
    """Guards against applying an order of a replaced holder or a repeat of an old order."""
    order = RoleOrder("2", 0, "llm-1", Role.PREFILL)
    newer = RoleOrder("3", 0, "llm-1", Role.DECODE)
    stale = RoleOrder("5", 0, "llm-1", Role.MIXED)
    claims = [LeaseClaim(*c, 5) for c in [("1", "a", NO_OFFSET), ("4", "b", 0), ("6", "c", 0)]]
    records = [claims[0], order, newer, order, claims[1], stale, LeaseRenewal("7", "a", 0)]
    control = apply_all(Control(), store([*records, claims[2]]))
    assert (control.term, control.holder, control.last_lease_offset) == (4, "b", 4)
    assert control.desired("llm-1").order_offset == 2
    assert control.desired("llm-1").control_offset == 7


def test_lease_can_be_claimed_after_the_log_dropped_all_lease_records():
    """Guards against a lease that no process can claim any more."""
    claims = [LeaseClaim(str(i), f"p{i}", NO_OFFSET, 5) for i in range(4)]
    times = [START_MS, START_MS, START_MS + VACANCY_MS, START_MS + VACANCY_MS + 1]
    records = store(claims, times_ms=times)
    control = apply_all(start_at(Control(), records, 1), records[1:])
    assert (control.term, control.holder) == (2, "p2")


ACTIONS = st.lists(
    st.tuples(
        st.integers(0, 2),  # process
        st.sampled_from(["claim", "claim", "renew", "renew", "order", "probe"]),
        st.integers(0, 4),  # how many records the process has not read yet
        st.sampled_from([1, 1, 1, VACANCY_MS - 1, VACANCY_MS]),  # since the last record
    ),
    min_size=12,
    max_size=30,
)


def build_control_log(actions):
    """Return a log of processes that act on outdated views but read back their own records."""
    stored, time_ms, views, read_back = [], START_MS, [Control()], [0, 0, 0]
    for process, action, behind, pause_ms in actions:
        name, record_id = f"p{process}", str(len(stored))
        view = views[max(len(stored) - behind, read_back[process])]
        if action in ("claim", "probe"):
            after = view.last_lease_offset if action == "claim" else NO_OFFSET
            record = LeaseClaim(record_id, name, after, 5)
        elif view.holder != name:
            continue
        elif action == "renew":
            record = LeaseRenewal(record_id, name, view.term)
        else:
            record = RoleOrder(record_id, view.term, "llm-1", Role.DECODE)
        time_ms += pause_ms
        views.append(copy.deepcopy(views[-1]))
        stored.append(store([record], first=len(stored), times_ms=[time_ms])[0])
        views[-1].apply(stored[-1])
        read_back[process] = len(stored)
    return stored, views


@PROPERTY
@given(ACTIONS, st.integers(1, 10))
def test_control_after_a_gap_agrees_with_a_full_reader(actions, start):
    """Guards against two processes with different lease holders or different valid orders."""
    records, views = build_control_log(actions)
    partial = start_at(Control(), records, start)
    for record in records[start:]:
        partial.apply(record)
        full = views[record.offset + 1]
        if partial.complete:
            assert (partial.term, partial.holder) == (full.term, full.holder)
            assert partial.last_lease_offset == full.last_lease_offset
        known = [view.desired("llm-1").order_offset for view in views[: record.offset + 2]]
        assert partial.desired("llm-1").order_offset in known


def test_first_claim_of_a_key_wins_until_it_is_released():
    """Guards against a delayed or repeated append that claims a key that is not free."""
    records = [
        claims_of("1", "a", "b"),
        claims_of("2", "c"),
        ClaimBatch("3", [Release("a"), Release("d")], claims_of("", "e").claims),
        claims_of("2", "c"),
        ClaimBatch("4", [Release("e")]),
        claims_of("2", "c"),
        claims_of("5", "d"),
    ]
    winners = [find(apply_all(Claims(), store(records[:count]))) for count in range(1, 8)]
    assert winners == ["a", "a", "e", "e", None, None, None]
    claims = start_at(apply_all(Claims(), store(records[:1])), records * 9, 9)
    claims.apply(store([claims_of("9", "z")], first=9)[0])
    assert not claims.find("depot", "org", "k").certain


def test_key_memory_is_taken_from_the_batch_of_the_claim():
    """Guards against readers that expire a key at different times after the limit changed."""
    batches = [claims_of("1", "a", memory_s=10), claims_of("2", "b", memory_s=float("inf"))]
    batches += [claims_of("3", "c", memory_s=1), ClaimBatch("4")]
    times = [START_MS, START_MS + 9_999, START_MS + 10_000, START_MS + 72_000]
    records = store(batches, times_ms=times)
    assert find(apply_all(Claims(), records[:2])) == "a"
    assert find(apply_all(Claims(), records[:3])) == "c"
    assert len(apply_all(Claims(), records)) == 0, "an expired key must be removed"


KEYS = ("k0", "k1")
MEMORIES_S = st.sampled_from([100, 700])  # Below and above the window of record ids.
BATCHES = st.lists(
    st.tuples(
        st.sampled_from(["claim", "claim", "claim", "release", "outcome", "repeat"]),
        st.sampled_from(["k0", "k0", "k1"]),
        st.integers(0, 5),  # which earlier record, or which earlier claim
        st.sampled_from([0, 1000, 90_000, 300_000, 500_000]),  # since the last record
    ),
    min_size=8,
    max_size=24,
)


def build_claims_log(steps, memory_s):
    batches, times, claimed = [], [], ["none"]
    for index, (kind, key, earlier, pause_ms) in enumerate(steps):
        times.append((times[-1] if times else START_MS) + pause_ms)
        record_id, repeated = str(index), max(0, index - 1 - earlier)
        named = claimed[-1 - earlier % len(claimed)]
        batch = ClaimBatch(record_id)
        if kind == "claim":
            batch = claims_of(record_id, record_id, key=key, memory_s=memory_s)
            claimed.append(record_id)
        elif kind == "release":
            batch = ClaimBatch(record_id, [Release(named)])
        elif kind == "outcome":
            batch = ClaimBatch(record_id, [], [], [Outcome(named, 200, [], "")])
        elif index:
            repeat = batches[repeated]
            first_ms = times[int(repeat.record_id)]
            # Repeats are recognised only within the window.
            batch = repeat if times[-1] - first_ms <= RECENT_IDS_WINDOW_MS else batch
        batches.append(batch)
    return store(batches, times_ms=times)


@PROPERTY
@given(BATCHES, MEMORIES_S)
@example(
    steps=[
        ("claim", 1, 0, 0),
        ("repeat", 0, 0, 500_000),
        ("claim", 0, 0, 300_000),
        ("repeat", 0, 1, 0),
    ],
    memory_s=700.0,
)
def test_another_claim_of_a_key_wins_only_when_it_is_free(steps, memory_s):
    """Guards against two claims of a key that are both reported as the winner."""
    claims, former = Claims(), set()
    for record, step in zip(build_claims_log(steps, memory_s), steps, strict=True):
        before = {key: claims.find("depot", "org", key) for key in KEYS}
        claims.apply(record)
        for key, old in before.items():
            new = claims.find("depot", "org", key)
            assert find(claims, key) not in former
            if old is None or (new and new.claim == old.claim):
                continue
            expired = record.time_ms >= old.expires_ms
            assert expired or (new is None and step[0] == "release" and old.outcome is None)
            former.add(old.claim.claim_id)


@PROPERTY
@given(BATCHES, MEMORIES_S, st.integers(1, 6))
def test_claims_after_a_gap_agree_with_a_full_reader(steps, memory_s, start):
    """Guards against running a key twice if the log dropped its claim before it was read."""
    records = build_claims_log(steps, memory_s)
    full, partial = apply_all(Claims(), records[:start]), start_at(Claims(), records, start)
    for record in records[start:]:
        full.apply(record)
        partial.apply(record)
        for key in KEYS:
            old, new = (c.find("depot", "org", key) for c in (full, partial))
            if new is not None and new.certain:
                assert new == old
            if new is None and partial.covers(memory_s):
                assert old is None or old.expires_ms <= record.time_ms
