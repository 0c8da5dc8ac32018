"""Tests of decoders with malformed bytes and values out of range."""

import base64
import json
import math
from contextlib import suppress

import attrs
import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st
from support.platform_fakes import HOST, fetch, make_request, run_test, running_fleet

from figwalk.coordination.prompt_plan import PromptCall
from figwalk.errors import HttpError, MalformedFrameError
from figwalk.events import EventLog
from figwalk.gateway.prompt_offers import _make_offer
from figwalk.gateway.topic_handlers import BackendReader
from figwalk.platform import (
    PlatformBackendCodec,
    PlatformCallerCodec,
    PlatformEngineReportCodec,
    PlatformStore,
    decode_backend,
    decode_routing,
)
from figwalk.platform.json_fields import PlatformRecordError
from figwalk.protocol.codec import decode_message, encode_message
from figwalk.protocol.messages import PromptOffer
from figwalk.state.backend_directory import BackendDirectory
from figwalk.state.settings import Address
from figwalk.timer import Timer
from figwalk.transport import HttpRequest, HttpServer
from standins.platform_config import make_config

HUGE = 10**400
REPORT = {"stage": "prefill", "busy": False, "running": 0, "waiting": 0, "kv-total": 1}
REGISTRATION = {
    "service": "orders",
    "address": "127.0.0.1:80",
    "zone": "a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold-remaining-ms": 0,
    "sequence": 1,
    "born": 1000,
}
VALUES = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.just(HUGE),
    st.floats(),
    st.text(),
    st.lists(st.none()),
)


@pytest.mark.parametrize("field", ["slots", "cold-remaining-ms", "sequence", "born"])
def test_registration_with_a_number_above_the_float_range_is_refused(field):
    """Guards against a process that ends because a number can't be converted to a float."""
    with pytest.raises(PlatformRecordError):
        decode_backend("b", json.dumps(REGISTRATION | {field: HUGE}).encode())


@pytest.mark.parametrize(
    "address",
    [
        "127.0.0.1:\u00b2",
        "\ud800:80",
        "localhost:80",
        "a b:80",
        "127.0.0.1:0",
        "127.0.0.1:65536",
        "127.0.0.1:" + "9" * 5000,
        "fe80::1%\r\nx: y:80",
    ],
)
def test_registration_with_an_invalid_ip_address_is_refused(address):
    """Guards against a call that fails only when the address is used."""
    with pytest.raises(PlatformRecordError):
        decode_backend("b", json.dumps(REGISTRATION | {"address": address}).encode())


@pytest.mark.parametrize("field", ["service", "zone"])
@pytest.mark.parametrize("name", ["", "a\r\nx: y", "a b", "\ud800", "\u00e4", "x" * 1_000_000])
def test_registration_with_a_strange_service_or_zone_is_refused(field, name):
    """Guards against names that logs, metrics and headers can't carry, or that fill memory."""
    with pytest.raises(PlatformRecordError):
        decode_backend("b", json.dumps(REGISTRATION | {field: name}).encode())


@pytest.mark.parametrize("field", ["state", "stage"])
def test_error_on_a_long_value_is_short(field):
    """Guards against log lines of a megabyte for one odd registration."""
    with pytest.raises(PlatformRecordError) as error:
        decode_backend("b", json.dumps(REGISTRATION | {field: "x" * 1_000_000}).encode())
    assert len(str(error.value)) < 500


def item(key, content, offset=0):
    return {"key": key, "offset": offset, "value": base64.b64encode(content).decode()}


ODD_ITEMS = [
    7,
    None,
    [],
    {},
    {"key": 5, "offset": 1, "value": ""},
    {"key": "odd", "offset": HUGE, "value": ""},
    {"key": "odd", "offset": 1, "value": "?"},
    {"key": "odd", "offset": 1, "value": None},
    item("odd", b"[" * 100_000),
    item("odd", json.dumps(REGISTRATION | {"address": "10.0.0.1:70000"}).encode()),
    item("odd", json.dumps(REGISTRATION | {"slots": HUGE}).encode()),
]


@pytest.mark.parametrize("odd", ODD_ITEMS)
@pytest.mark.parametrize("position", [0, 1, 2])
def test_odd_item_of_a_listing_does_not_hide_the_others(odd, position):
    """Guards against a gateway that stops following the list because of one strange entry."""
    items = [item(key, json.dumps(REGISTRATION).encode()) for key in ("a", "b")]
    items.insert(position, odd)

    async def answer(_request, responder):
        await responder.send_json(200, {"items": items, "truncated": False, "end": 3})

    async def main():
        async with trio.open_nursery() as nursery:
            events = EventLog("store", Timer())
            port = await nursery.start(HttpServer(answer, events).serve, HOST, 0)
            store = PlatformStore(Address(HOST, port), timeout_s=5.0)
            page = await store.read_newest("keyed.servers")
            directory = BackendDirectory(events, Timer())
            reader = BackendReader(directory, decode_backend, events)
            for record in page.records:
                reader.apply(record)
            assert {entry.backend for entry in directory.entries()} == {"a", "b"}
            store.close()
            nursery.cancel_scope.cancel()

    run_test(main)


@pytest.mark.parametrize("key", ["", "a b", "a\r\nx: y", "\u00e4"])
def test_registration_key_that_is_not_a_valid_header_value_is_refused(key):
    """Guards against a backend id that invalidates, or injects, headers of each call."""
    with pytest.raises(PlatformRecordError):
        decode_backend(key, json.dumps(REGISTRATION).encode())


@pytest.mark.parametrize("field", sorted(make_config()["routes"][0]))
@given(value=VALUES)
def test_configuration_with_any_value_is_refused_or_decoded(field, value):
    """Guards against a gateway that ends because of an invalid configuration field."""
    config = make_config()
    config["routes"][0][field] = value
    with suppress(PlatformRecordError):
        decode_routing(json.dumps(config).encode())


@given(st.dictionaries(st.sampled_from(sorted(REPORT)), VALUES))
def test_report_with_any_value_is_refused_or_decoded(change):
    """Guards against an agent that ends because of an invalid report from its engine."""
    with suppress(HttpError):
        report = PlatformEngineReportCodec().decode_report([], json.dumps(REPORT | change).encode())
        assert report.kv_tokens >= 0


@pytest.mark.parametrize("handle", ["", "a b", "a\r\nx: y", "a/b", "\u00e4"])
def test_prefill_handle_that_is_not_a_valid_header_value_is_refused(handle):
    """Guards against an engine's response that injects headers into another engine's request."""
    body = json.dumps({"transfer-handle": handle, "tokens": 5}).encode()
    entry = decode_backend("b", json.dumps(REGISTRATION).encode())
    with pytest.raises(HttpError):
        PlatformBackendCodec().decode_prefill(entry, body)


@given(st.text(max_size=40))
def test_invalid_load_header_is_ignored(text):
    """Guards against a response that is dropped because its load header is invalid."""
    headers = [(b"server-load", text.encode())]
    PlatformBackendCodec().decode_answer(200, headers)
    PlatformBackendCodec().decode_answer(200, [(b"server-load", b"1," + b"9" * 5000 + b",8")])


def test_caller_headers_with_numbers_of_any_length_are_decoded():
    """Guards against status 500 for a number with more digits than int() accepts."""
    codec = PlatformCallerCodec()
    headers = [(b"request-id", b"1"), (b"deadline-ms", b"9" * 5000)]
    assert codec.decode(HttpRequest("GET", "/", headers)).caller_timeout_s == math.inf
    for digits in (b"9" * 5000, b"9" * 10):
        headers = [(b"request-id", b"1"), (b"prefix-hash", b"a:" + digits)]
        assert codec.decode(HttpRequest("POST", "/", headers)).prompt == ()


def test_offer_of_any_prompt_can_be_encoded():
    """Guards against status 500 for a prompt whose offer can't be encoded."""
    huge = attrs.field(default=1e9)
    fields = {"after_s": huge, "reserve_s": attrs.field(default=0.0), "donor": huge}
    plan = attrs.make_class("Plan", fields)()
    prompt = PromptCall((("a", 999_999_999),) * 64, 1e9, 1e9)
    offer = decode_message(encode_message(_make_offer(1, "c", prompt, plan)))
    assert isinstance(offer, PromptOffer)


@given(st.binary(max_size=300))
def test_any_bytes_decode_or_raise_malformed_frame_error(data):
    """Guards against an agent or gateway that ends because of an invalid frame."""
    with suppress(MalformedFrameError):
        decode_message(data)


@given(st.data())
def test_corrupted_message_decodes_or_raises_malformed_frame_error(data):
    """Guards against an agent or gateway that ends because of a corrupted frame."""
    frame = bytearray(encode_message(PromptOffer(1, "c1", "a,b", [10, 20], 250, 2000, 0)))
    for _ in range(data.draw(st.integers(1, 6))):
        frame[data.draw(st.integers(0, len(frame) - 1))] = data.draw(st.integers(0, 255))
    with suppress(MalformedFrameError):
        decode_message(bytes(frame))


def test_gateway_keeps_serving_after_invalid_requests():
    """Guards against a gateway that ends, or responds with 500, after an invalid request."""
    heads = [
        b"\x00\xff\r\n\r\n",
        b"GET / HTTP/9.9\r\n\r\n",
        b"GET /check/1 HTTP/1.1\r\nHost: \xff\r\nRequest-Id: 1\r\n\r\n",
        make_request("/check/1", headers=["Deadline-Ms: 5", "Content-Length: 99999999999999"]),
        make_request("/check/1", headers=["Transfer-Encoding: gzip"]),
        make_request("/long/1", headers=["Prefix-Hash: a:99999999999", "Last-Event-Id: \x7f"]),
        make_request("/long/1", headers=["Prefix-Hash: " + "a:1," * 3000]),
        make_request("/check/1", deadline_ms="9" * 5000),
    ]

    async def main():
        async with running_fleet() as fleet:
            fleet.publish(make_config())
            await fleet.start_gateway()
            for head in heads:
                with trio.move_on_after(2), suppress(OSError, trio.BrokenResourceError):
                    status, _, _ = await fetch(fleet.callers, head)
                    assert status != 500, head[:80]
            assert (await fleet.call("/nowhere/"))[0] == 404

    run_test(main)
