import pytest
import trio
import trio.testing

from figwalk.entry.call_pool import CallPool
from figwalk.errors import ConnectionLostError
from figwalk.events import EventLog
from figwalk.protocol.messages import Call, ConnectionKind, Hello
from figwalk.protocol.peer_connection import PeerConnection
from figwalk.state.settings import Address
from figwalk.timer import Timer
from figwalk.transport.byte_stream import ByteStream


class _Link:
    """Link to an agent that completes the handshake but never answers a call."""

    def __init__(self, port):
        self.address = Address("127.0.0.1", port)
        self.calls = set()

    def register_call(self, connection):
        self.calls.add(connection)

    def unregister_call(self, connection):
        self.calls.discard(connection)

    def hello(self, kind):
        return Hello(kind, "entry-1", 1)


async def _answer_hello(stream):
    connection = PeerConnection(ByteStream(stream))
    await connection.receive_hello()
    await connection.send(Hello(ConnectionKind.CALL, "agent-1", 2))
    await trio.sleep_forever()


def test_a_call_ends_when_its_agent_is_lost():
    """Guards against a call to a lost agent that keeps its caller waiting until the deadline."""

    async def lose_agent(link):
        while not link.calls:
            await trio.lowlevel.checkpoint()
        await trio.testing.wait_all_tasks_blocked()
        for connection in link.calls:
            connection.close()

    async def main():
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(trio.serve_tcp, _answer_hello, 0)
            link = _Link(listeners[0].socket.getsockname()[1])
            pool = CallPool(link, link, EventLog("entry-1", Timer()))
            nursery.start_soon(lose_agent, link)
            with pytest.raises(ConnectionLostError, match="was lost during the call"):
                async with pool.open(Call(1, "r", "GET", "/")) as reply:
                    await reply.head()
            assert not link.calls
            nursery.cancel_scope.cancel()

    trio.run(main)
