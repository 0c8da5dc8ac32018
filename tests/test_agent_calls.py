import trio
from agent_fakes import agent_test, body_of

from figwalk.errors import CallOutcome
from figwalk.protocol.messages import Answer, Cancel, End, Priority, Refusal
from figwalk.protocol.peer_connection import AnswerData

DONE = b"data: [DONE]\n\n"


@agent_test()
async def test_whole_answer_reaches_the_entry(running):
    """Guards against a lost, changed or wrongly tagged answer (invariant 4)."""
    entry = await running.connect()
    await entry.call(0xAB, body=b"question", priority=Priority.BATCH)
    answer, *_, end = frames = await entry.result()
    assert (answer.call_id, answer.status) == (0xAB, 200)
    assert body_of(frames) == b'{"ok":true}'
    assert (end.byte_count, end.complete) == (11, True)
    sent = running.backend.calls[0]
    assert sent.body == b"question"
    assert sent.header(b"x-request-id") == "00000000000000ab"
    assert sent.header(b"x-priority") == "batch"


@agent_test()
async def test_only_whole_events_are_forwarded(running):
    """Guards against forwarding a partial event, which would corrupt a resumed stream."""
    running.backend.chunks = [b"data: a\n\ndata: b\n\nda", b"ta: c\n\ndata: half"]
    running.backend.finish = False
    entry = await running.connect()
    await entry.call(target="/stream", stream=True)
    frames = await entry.result()
    assert body_of(frames) == b"data: a\n\ndata: b\n\ndata: c\n\n"
    assert not frames[-1].complete
    data = [frame for frame in frames if isinstance(frame, AnswerData)]
    assert data[0].data.startswith(b"data: a\n\ndata: b\n\n")


@agent_test()
async def test_stream_is_complete_only_after_done(running):
    """Guards against taking a stream without its last events as complete by its HTTP framing."""
    entry = await running.connect()
    for call_id, chunks in enumerate([[b"data: a\n\n"], [b"data: a\n\n", DONE]]):
        running.backend.chunks = chunks
        await entry.call(call_id, "/stream", stream=True)
        assert (await entry.result())[-1].complete == (call_id == 1)


@agent_test()
async def test_answer_of_another_call_is_not_forwarded(running):
    """Guards against a backend server that sends the answer to another call (invariant 4)."""
    running.backend.echo = "ffff"
    entry = await running.connect()
    await entry.call()
    (refusal,) = await entry.result()
    assert refusal.outcome is CallOutcome.UNKNOWN


@agent_test()
async def test_unreachable_backend_has_not_run_the_call(running):
    """Guards against `outcome_unknown` for a call that was not sent, which prevents its retry."""
    entry = await running.connect()
    await running.backend.stop()
    for call_id in (1, 2):
        await entry.call(call_id)
        (refusal,) = await entry.result()
        assert (refusal.code, refusal.outcome) == ("down", CallOutcome.NOT_RUN)


@agent_test()
async def test_outcome_without_answer_is_unknown(running):
    """Guards against a false `not_run` if the backend server stops during a call (invariant 5)."""
    running.backend.go_on = trio.Event()
    entry = await running.connect()
    await entry.call()
    await running.backend.received.wait()
    await running.backend.stop()
    (refusal,) = await entry.result()
    assert refusal.outcome is CallOutcome.UNKNOWN


@agent_test()
async def test_engine_that_changes_its_role_has_not_run_the_call(running):
    """Guards against forwarding the 503 of a changing engine to the caller instead of a retry."""
    running.backend.status = 503
    entry = await running.connect()
    await entry.call()
    (refusal,) = await entry.result()
    assert (refusal.code, refusal.outcome) == ("changing", CallOutcome.NOT_RUN)


@agent_test()
async def test_cancel_stops_the_call_at_the_engine_and_keeps_the_connection(running):
    """Guards against an engine that continues to generate after the caller disconnected."""
    running.backend.go_on = trio.Event()
    entry = await running.connect()
    await entry.call(7)
    await running.backend.received.wait()
    await entry.connection.send(Cancel(7))
    (refusal,) = await entry.result()
    assert (refusal.code, refusal.outcome) == ("cancelled", CallOutcome.UNKNOWN)
    await running.backend.cancel_received.wait()
    assert running.backend.cancelled == ["/requests/0000000000000007"]
    running.backend.go_on.set()
    await entry.call(8)
    assert isinstance((await entry.result())[-1], End)


@agent_test()
async def test_lost_connection_cancels_the_call(running):
    """Guards against calls that run on after their entry is lost and use up capacity."""
    running.backend.go_on = trio.Event()
    entry = await running.connect()
    await entry.call(7)
    await running.backend.received.wait()
    await entry.connection.aclose()
    await running.backend.cancel_received.wait()


@agent_test()
async def test_call_read_after_its_connection_closed_is_not_sent(running):
    """Guards against a busy agent that reads a call with the close behind it, and sends it."""
    # Leaves an open connection to the backend server, on which a call can be sent at once.
    entry = await running.connect()
    await entry.call(1)
    await entry.result()
    # The order in which the agent's tasks run in one pass of the event loop is random.
    for number in range(1, 21):
        left = await running.connect()
        await left.call(100 + number)
        left.connection.close()
        while running.events().count("CALL_CANCELLED") < number:
            await trio.sleep(0.001)
    await entry.call(2)
    await entry.result()
    assert [int(call.header(b"x-request-id"), 16) for call in running.backend.calls] == [1, 2]


@agent_test()
async def test_cancel_directly_after_a_call_is_not_lost(running):
    """Guards against ignoring a `Cancel` that arrives before the call's task has started."""
    running.backend.go_on = trio.Event()
    entry = await running.connect()
    await entry.call(7)
    await entry.connection.send(Cancel(7))
    assert isinstance((await entry.result())[-1], Refusal)


@agent_test()
async def test_malformed_frame_closes_its_connection_with_one_event(running):
    """Guards against an agent that fails on invalid data from the network."""
    address = running.agent.addresses["peers"]
    entry = await running.connect()
    for invalid in (b"\x00\x00\x00\x05\x00junk", b"\xff\xff\xff\xff\x00"):
        stream = await trio.open_tcp_stream(address.host, address.port)
        await stream.send_all(invalid)
        assert await stream.receive_some() == b""
    assert running.events().count("PEER_FRAME_REJECTED") == 2
    await entry.call()
    assert isinstance((await entry.result())[0], Answer)
