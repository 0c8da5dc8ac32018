"""Tests that nothing is sent to backend servers for callers that have left."""

import socket
import struct

import pytest
import trio
from support.platform_fakes import (
    answering,
    any_stage,
    make_request,
    render,
    run_test,
    running_fleet,
)

from figwalk.gateway.prompt_offers import Grant, OfferAnswer
from standins.platform_config import make_config


class IgnoringLink:
    """A connection to an agent that ignores the ends of grants."""

    def queue_end(self, offer_id, *, read, took_s=0.0):
        """Ignore the end of a grant."""


def make_prompt(call_id):
    """Return the options of a request with a long prompt that no engine has cached."""
    parts = ",".join(f"{call_id}{part}".encode().hex() + ":15000" for part in "abc")
    headers = [f"Prefix-Hash: {parts}", "Token-Counts: 45000,20", "Model: m"]
    return {"method": "POST", "body": b"1", "headers": headers, "call_id": call_id}


def connect_and_send(fleet, data):
    """Send a request on a new connection before the gateway runs again; return the socket."""
    caller = socket.create_connection((fleet.callers.host, fleet.callers.port))
    caller.sendall(data)
    return caller


async def wait_cancelled(fleet, call_id):
    """Wait until the gateway has noticed that the caller of a call has left."""
    while not select(fleet, call_id, "REQUEST_CANCELLED"):
        await trio.sleep(0.001)


def select(fleet, call_id, name):
    """Return the gateway's events of one name about a call."""
    return [record for record in fleet.process._events.select(call_id) if record.name == name]


@pytest.mark.parametrize(("path", "method"), [("/check/x", "GET"), ("/order/x", "POST")])
def test_request_read_after_its_caller_left_is_not_sent(path, method):
    """Guards against a busy gateway that reads a request with the close behind it, and sends it."""

    async def main():
        async with running_fleet() as fleet:
            fleet.publish(make_config())
            backend = await fleet.add_backend("b1", answering())
            await fleet.start_gateway()
            # Leaves an open connection, on which a request can be sent at once.
            await fleet.call(path, method=method, body=b"1", call_id="first")
            connect_and_send(
                fleet, make_request(path, method=method, body=b"1", call_id="left")
            ).close()
            await wait_cancelled(fleet, "left")
            await fleet.call(path, method=method, body=b"1", call_id="last")
            assert [request.call_id for request in backend.requests] == ["first", "last"]

    run_test(main)


@pytest.mark.parametrize("reader", ["reader", "runner"])
def test_prompt_whose_caller_left_during_its_placement_is_not_sent(reader):
    """Guards against a prompt that is sent in the same pass of the event loop as the close."""

    async def main():
        async with running_fleet() as fleet:
            fleet.publish(make_config())
            engines = [await fleet.add_backend("runner", any_stage, "lm", stage="decode")]
            if reader == "reader":
                engines.append(await fleet.add_backend(reader, any_stage, "lm", stage="prefill"))
            await fleet.start_gateway()
            callers = []

            async def offer(call_id, _prompt, _plan, _round_trip_s):
                if call_id == "left":
                    callers.pop().close()
                return OfferAnswer(Grant(IgnoringLink(), 1), 1000, 0.0, 0.01)

            # Leaves open connections, on which a prompt can be sent at once.
            status, _, _ = await fleet.call("/chat/x", **make_prompt("first"))
            assert status == 200
            fleet.process._offers.offer = offer
            callers.append(connect_and_send(fleet, make_request("/chat/x", **make_prompt("left"))))
            await wait_cancelled(fleet, "left")
            status, _, _ = await fleet.call("/chat/x", **make_prompt("last"))
            assert status == 200
            (placed,) = select(fleet, "left", "PROMPT_PLACED")
            assert placed.fields["reader"] == reader
            assert "left" not in {request.call_id for e in engines for request in e.requests}

    run_test(main)


def test_caller_that_left_is_counted_once():
    """Guards against two events for a caller that resets its connection as its answer arrives."""

    async def main():
        callers = []

        async def reset_caller_and_answer(_backend, stream, request):
            if callers:
                caller = callers.pop()
                caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                caller.close()
            await stream.send_all(render(request))
            return True

        async with running_fleet() as fleet:
            fleet.publish(make_config())
            await fleet.add_backend("b1", reset_caller_and_answer)
            await fleet.start_gateway()
            callers.append(connect_and_send(fleet, make_request("/check/x", call_id="left")))
            await wait_cancelled(fleet, "left")
            await fleet.call("/check/x", call_id="last")
            assert len(select(fleet, "left", "REQUEST_CANCELLED")) == 1

    run_test(main)
