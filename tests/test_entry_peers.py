import pytest
import trio
from agent_fakes import HOST, run_test

from figwalk.entry import entry_peers
from figwalk.entry.entry_peers import EntryPeers
from figwalk.events import EventLog
from figwalk.state.configuration import Configuration
from figwalk.timer import Timer


@pytest.mark.parametrize(
    ("limits", "events"),
    [
        ({"HELLO_TIMEOUT_S": 0.01}, []),
        ({"MAX_CONNECTIONS": 0}, ["HTTP_TOO_MANY_CONNECTIONS"]),
    ],
)
def test_unresponsive_or_surplus_connection_is_closed(monkeypatch, limits, events):
    """Guards against connections to the peer port that exhaust the file descriptors."""
    for name, value in limits.items():
        monkeypatch.setattr(entry_peers, name, value, raising=False)

    async def main():
        log = EventLog("entry-1", Timer())
        peers = EntryPeers("entry-1", Configuration(), None, log)
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(
                lambda task_status: trio.serve_tcp(
                    peers.serve, 0, host=HOST, task_status=task_status
                )
            )
            stream = await trio.open_tcp_stream(HOST, listeners[0].socket.getsockname()[1])
            assert await stream.receive_some() == b""
            nursery.cancel_scope.cancel()
        assert [record.name for record in log.select()] == events

    run_test(main)
