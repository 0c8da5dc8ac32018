"""Tests of the helpers with which tests start processes."""

import errno
import socket

import pytest
import trio

from standins.launcher import choose_port

HOST = "127.0.0.1"


def test_chosen_port_is_kept_for_its_listener():
    """Guards against tests that fail now and then as another socket takes the port first."""

    async def main():
        port = choose_port()
        with socket.socket() as other:
            with pytest.raises(OSError, match="in use") as raised:
                other.bind((HOST, port))
            assert raised.value.errno == errno.EADDRINUSE
        with pytest.raises(OSError, match="failed"):
            await trio.open_tcp_stream(HOST, port)
        (listener,) = await trio.open_tcp_listeners(port, host=HOST)
        async with listener, await trio.open_tcp_stream(HOST, port):
            assert listener.socket.getsockname()[1] == port

    trio.run(main)
