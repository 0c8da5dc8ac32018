"""Tests that gateways together keep to the limits of requests that backend servers name."""

import pytest
import trio
from support.platform_fakes import answering, render, run_test, running_fleet

from figwalk.coordination.subject_affinity import hash_pair
from standins.platform_config import make_config

LIMIT = 5.0
WINDOW_S = 4.0
# As the users state it: in any window, one and a half times what the limit allows, and five more.
ALLOWED = 1.5 * LIMIT * WINDOW_S + 5
PROMPT = ["Prefix-Hash: head:50,own:50", "Token-Counts: 200,20", "Model: m"]
PLAIN = ("/check/x", "orders", {})
RESUMABLE = ("/long/x", "lm", {"stage": "decode"})


class LimitedServer:
    """Script of a backend server that names a limit in each answer, and the times of its calls."""

    def __init__(self, **headers):
        self._headers = {"Server_Limit": LIMIT} | headers
        self._arrivals = []

    @property
    def most(self):
        """Largest number of calls in a window."""
        times = self._arrivals
        return max(sum(start <= at < start + WINDOW_S for at in times) for start in times)

    async def script(self, _backend, stream, request):
        """Answer a call and record when it came."""
        self._arrivals.append(trio.current_time())
        await stream.send_all(render(request, b"data: 1\n\n", **self._headers))
        return True


async def call(gateway, path, number):
    status, headers, _ = await gateway.call(
        path, method="POST", body=b"1", call_id=f"c{number}", headers=PROMPT
    )
    return status, headers


@pytest.mark.parametrize(("path", "service", "fields"), [PLAIN, RESUMABLE])
def test_limited_backend_server_gets_no_more_than_its_limit_from_all_gateways(
    path, service, fields
):
    """Guards against gateways that send on at full rate, or each at the full limit."""

    async def main():
        async with running_fleet() as fleet:
            fleet.publish(make_config())
            await fleet.start_gateway()
            gateways = [fleet, *[await fleet.add_gateway(f"gateway-{n}") for n in (2, 3)]]
            server = LimitedServer()
            await fleet.add_backend("b1", server.script, service, **fields)
            answers = []
            for gateway in gateways:
                while (await call(gateway, path, 0))[0] != 200:
                    pass
            for number in range(30):
                answers += [await call(gateway, path, number) for gateway in gateways]
            assert server.most <= ALLOWED
            refused = [headers for status, headers in answers if status == 503]
            assert refused
            assert all(float(headers["retry-after"]) > 0 for headers in refused)

    run_test(main)


@pytest.mark.parametrize(("path", "service", "fields"), [PLAIN, RESUMABLE])
def test_calls_go_to_other_backend_servers_while_one_is_limited(path, service, fields):
    """Guards against callers that are refused although another backend server takes their calls."""

    async def main():
        async with running_fleet() as fleet:
            fleet.publish(make_config())
            server = LimitedServer()
            # Streams of short prompts go to the engine that this hash puts first.
            first, second = sorted(("b1", "b2"), key=lambda name: hash_pair("streams", name))
            await fleet.add_backend(first, server.script, service, **fields)
            await fleet.start_gateway()
            # A gateway prefers a server to which it has a connection, so it gets one to this first.
            assert (await call(fleet, path, -1))[0] == 200
            await fleet.add_backend(second, answering(b"data: 1\n\n"), service, **fields)
            while len(fleet.process._directory.entries()) < 2:
                await trio.sleep(0.01)
            for number in range(160):
                assert (await call(fleet, path, number))[0] == 200
            assert server.most <= ALLOWED

    run_test(main)
