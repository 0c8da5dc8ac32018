"""Tests that all gateways together stay within the limit of repeats, whatever happens to them."""

import trio
from support.platform_fakes import any_stage, refusing, run_test, running_fleet, streaming

from figwalk.state.gateway_settings import RetrySettings
from standins.platform_config import make_config

CALLS = 100
PROMPT = ["Prefix-Hash: head:5000,{}:40000", "Token-Counts: 45000,20", "Model: m"]


async def prefill_only(backend, stream, request):
    """Script of an engine whose KV cache is gone when the call is to run."""
    script = any_stage if request.headers.get("stage") == "prefill" else refusing
    return await script(backend, stream, request)


def count_repeats(backends):
    """Return the arrivals beyond the first of each request, without its first prefill."""
    arrivals = [request for backend in backends for request in backend.requests if request.call_id]
    prefilled = {r.call_id for r in arrivals if r.headers.get("stage") == "prefill"}
    return len(arrivals) - len(prefilled) - len({request.call_id for request in arrivals})


def run_with_retries(test, *, ratio):
    async def main():
        async with running_fleet() as fleet:
            fleet.settings = {"retry": RetrySettings(ratio=ratio, slack=0.0)}
            fleet.publish(make_config())
            await test(fleet)

    run_test(main)


async def ask(fleet, path, number):
    headers = [line.format(f"own{number}") for line in PROMPT]
    return await fleet.call(
        path, method="POST", body=b"1", call_id=f"{path}{number}", headers=headers
    )


def test_each_arrival_of_a_retry_counts_against_the_limit():
    """Guards against retries that reach two engines, by prefill and run, and are counted once."""
    ratio = 0.2

    async def test(fleet):
        backends = [
            await fleet.add_backend(f"{stage}{number}", prefill_only, "lm", stage=stage)
            for stage in ("prefill", "decode")
            for number in range(2)
        ]
        await fleet.start_gateway()
        for number in range(CALLS):
            await ask(fleet, "/long/x", number)
        assert 0 < count_repeats(backends) <= ratio * CALLS

    run_with_retries(test, ratio=ratio)


def test_calls_to_one_service_do_not_pay_for_retries_at_another():
    """Guards against a failing service that gets the retries of a busy sound one."""
    ratio = 0.2

    async def test(fleet):
        engine = await fleet.add_backend("engine", any_stage, "lm", stage="decode")
        failing = [await fleet.add_backend(name, refusing) for name in ("one", "two")]
        await fleet.start_gateway()
        for number in range(CALLS):
            await ask(fleet, "/long/x", number)
        assert len(engine.requests) == CALLS
        for number in range(10):
            await ask(fleet, "/check/x", number)
        assert count_repeats(failing) <= ratio * 10

    run_with_retries(test, ratio=ratio)


def test_slow_stream_is_not_given_up_if_no_retry_is_allowed():
    """Guards against a stream that fails since it is abandoned without a retry left for it."""

    async def slow(backend, stream, request):
        # Four targets of the route; without an event for three, the stream would be retried.
        await trio.sleep(1.0)
        return await streaming(2)(backend, stream, request)

    async def test(fleet):
        for name in ("one", "two"):
            await fleet.add_backend(name, slow, "lm", stage="decode")
        await fleet.start_gateway()
        assert (await ask(fleet, "/long/x", 1))[0] == 200

    run_with_retries(test, ratio=0.0)
