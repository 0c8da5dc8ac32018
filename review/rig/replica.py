"""Stand-ins for replicas: a base class with incarnations and crashes, and an engine."""

from __future__ import annotations

import asyncio
import secrets
import socket
import time
from collections.abc import Awaitable, Callable

from rig.http import Answer, Message, read_request, render_answer
from rig.processes import choose_port
from rig.store import Store

SERVERS_TOPIC = "keyed.servers"
HEARTBEAT_S = 1.2
MISSED_HEARTBEATS = 3
BACKLOG = 512
FILLER_CONNECTIONS = 4

Note = Callable[[str], None]


class Replica:
    """A replica at a fixed address, with a new id at each start.

    Args:
        name: Name for the record.
        service: Service that it belongs to.
        host: Loopback address of its machine.
        store: The platform's store.
        note: Writes a line to the record.
        slots: Requests that it runs at once.
        stage: Stage of an engine, or empty.
        zone: Zone of its machine.
    """

    def __init__(
        self,
        name: str,
        service: str,
        host: str,
        store: Store,
        note: Note,
        *,
        slots: int = 6,
        stage: str = "",
        zone: str = "rajkot-a",
    ) -> None:
        self.name = name
        self.id = ""
        self.born_ms = 0
        self.address = (host, choose_port(host))
        self.note = note
        self.slots = slots
        self.stage = stage
        self.up = False
        self._service = service
        self._zone = zone
        self._store = store
        self._listener: socket.socket | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        # Connections of a silent machine stay open, so that no peer is told of the crash.
        self._abandoned: list[object] = []

    @property
    def app(self) -> str:
        """Address as text."""
        return "{}:{}".format(*self.address)

    def start(self) -> None:
        """Start an incarnation: listen and register."""
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind(self.address)
        self._listener.listen(BACKLOG)
        self._listener.setblocking(False)
        self.id = f"i-{secrets.token_hex(4)}"
        self.born_ms = int(time.time() * 1000)
        self.up = True
        self.note(f"{self.name} starts as {self.id}")
        self.reset_state()
        self._spawn(self._accept(self._listener))
        self._register()

    def reset_state(self) -> None:
        """Forget what an earlier incarnation knew."""

    def crash(self, *, down_s: float, silent: bool) -> None:
        """End the incarnation without a word, and start another one later.

        Args:
            down_s: Seconds until the next incarnation starts.
            silent: Whether the machine falls silent, instead of resetting its connections.
        """
        if not self.up:
            return
        self.up = False
        self.note(f"{self.name} {self.id} crashes, {'silent' if silent else 'resetting'}")
        tasks, self._tasks = self._tasks, set()
        writers, self._writers = self._writers, set()
        listener, self._listener = self._listener, None
        if silent:
            # Held, so that neither the streams nor the sockets are closed.
            self._abandoned += [*writers, *tasks]
            fillers = _fill_backlog(listener, self.address)
        else:
            fillers = []
            listener.close()
            for writer in writers:
                writer.transport.abort()
        for task in tasks:
            if task is not asyncio.current_task():
                task.cancel()
        loop = asyncio.get_running_loop()
        loop.call_later(MISSED_HEARTBEATS * HEARTBEAT_S, self._lapse, self.id)
        loop.call_later(down_s, self._restart, listener, fillers)

    def _restart(self, listener: socket.socket, fillers: list[socket.socket]) -> None:
        for each in [listener, *fillers]:
            each.close()
        self.start()

    def _lapse(self, backend: str) -> None:
        self._store.put(SERVERS_TOPIC, backend, None)

    def _register(self) -> None:
        entry: dict[str, object] = {
            "service": self._service,
            "address": self.app,
            "zone": self._zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "cold-remaining-ms": 0,
            "sequence": 1,
            "born": self.born_ms,
        }
        if self.stage:
            entry |= {"stage": self.stage, "models": [{"name": "m", "version": 1, "adapters": []}]}
        self._store.put(SERVERS_TOPIC, self.id, entry)

    def _spawn(self, work: Awaitable[None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _accept(self, listener: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while True:
            connection, _ = await loop.sock_accept(listener)
            reader, writer = await asyncio.open_connection(sock=connection)
            self._writers.add(writer)
            self._spawn(self._serve(reader, writer))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        incarnation = self.id
        try:
            while (request := await read_request(reader)) is not None:
                expected = request.header("expect-instance")
                if expected not in ("", self.id):
                    answer = Answer(421, {**_echo(request), "Not-Executed": "1"})
                    writer.write(render_answer(answer))
                else:
                    await self.answer(request, reader, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            if self.up and incarnation == self.id:
                self._writers.discard(writer)
                writer.close()

    async def answer(
        self, request: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one request."""
        raise NotImplementedError


class DepartedError(ConnectionError):
    """The sender of a request has closed its connection."""


async def work_while_connected(reader: asyncio.StreamReader, seconds: float) -> None:
    """Wait; raise an error as soon as the sender of the request closes its connection."""
    try:
        await asyncio.wait_for(reader.read(1), seconds)
    except TimeoutError:
        return
    raise DepartedError("the sender has left")


def sign(replica: Replica, request: Message) -> dict[str, str]:
    """Return the headers of an answer to a request that has run."""
    return {**_echo(request), "Server-Stamp": f"{replica.id}.{request.header('request-id')}"}


def _echo(request: Message) -> dict[str, str]:
    return {"Request-Id": request.header("request-id")}


def _fill_backlog(listener: socket.socket, address: tuple[str, int]) -> list[socket.socket]:
    """Fill the queue of a listener that accepts no more, so that the system ignores others."""
    listener.listen(0)
    fillers = []
    for _ in range(FILLER_CONNECTIONS):
        filler = socket.socket()
        filler.setblocking(False)
        filler.connect_ex(address)
        fillers.append(filler)
    return fillers
