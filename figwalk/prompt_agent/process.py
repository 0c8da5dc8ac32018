"""The prompt agent as a process: creates, connects and runs its components."""

from __future__ import annotations

import random
from collections.abc import Callable

import trio

from figwalk.coordination.prefill_queue import PrefillQueue
from figwalk.events import Event, EventLog
from figwalk.platform import PlatformEngineCacheCodec, PlatformEngineReportCodec, PlatformStore
from figwalk.process_runner import Process
from figwalk.prompt_agent.cache_follower import CacheFollower
from figwalk.prompt_agent.digest_sender import DIGEST_PERIOD_S
from figwalk.prompt_agent.engine_watcher import REPORT_PERIOD_S, REPORT_TIMEOUT_S, EngineWatcher
from figwalk.prompt_agent.prompt_server import PromptServer
from figwalk.protocol.messages import ConnectionKind, Hello, Role
from figwalk.relay.relay_server import RelayServer
from figwalk.state.gateway_settings import PromptAgentSettings
from figwalk.timer import Timer
from figwalk.transport import ConnectionOptions, HttpClient
from figwalk.transport.listening import open_listeners

LISTEN_BACKLOG = 256
INCARNATION_BITS = 64


class PromptAgentProcess(Process[PromptAgentSettings]):
    """A prompt agent with all its components.

    Args:
        settings: Settings of the process.
        dropped_lines: Returns the number of dropped log lines.
    """

    def __init__(
        self, settings: PromptAgentSettings, *, dropped_lines: Callable[[], int] = lambda: 0
    ) -> None:
        self._settings = settings
        self._dropped_lines = dropped_lines
        self._timer = Timer()
        self._events = EventLog(settings.process, self._timer)
        self._incarnation = random.getrandbits(INCARNATION_BITS)
        queue = PrefillQueue(
            self._timer,
            tokens_per_s=settings.engines.prefill_rate(Role.PREFILL),
        )
        options = ConnectionOptions(connect_timeout_s=REPORT_TIMEOUT_S, max_idle=1)
        self._client = HttpClient(settings.engine.host, settings.engine.port, options=options)
        self._watcher = EngineWatcher(
            self._client,
            PlatformEngineReportCodec(),
            queue,
            settings.engines,
            self._events,
            self._timer,
        )
        self._cache_client = HttpClient(settings.engine.host, settings.engine.port, options=options)
        self._cache = CacheFollower(
            self._cache_client, PlatformEngineCacheCodec(), queue.parts, self._events, self._timer
        )
        self._relay = self._make_relay()
        self._server = PromptServer(
            queue,
            self._watcher,
            self._events,
            self._timer,
            make_hello=self._make_hello,
            relay=self._relay,
        )
        self._stopped = trio.Event()

    def update_settings(self, settings: PromptAgentSettings) -> None:
        """Ignore changed settings: a prompt agent applies none while it runs."""

    async def run(self) -> None:
        """Serve gateways until `stop` is called."""
        address = self._settings.peers
        listeners = await open_listeners(address.host, address.port, backlog=LISTEN_BACKLOG)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._timer.run)
            nursery.start_soon(self._cache.run)
            if self._relay is not None:
                nursery.start_soon(self._relay.run)
            nursery.start_soon(trio.serve_listeners, self._server.serve_connection, listeners)
            self._timer.subscribe("engine-report", REPORT_PERIOD_S, self._watcher.poll)
            self._timer.subscribe("digests", DIGEST_PERIOD_S, self._server.digests.send_if_due)
            self._events.record(
                Event.PROCESS_STARTED, peers=str(address), engine=str(self._settings.engine)
            )
            await self._stopped.wait()
            nursery.cancel_scope.cancel()
        self._client.close()
        self._cache_client.close()

    async def stop(self) -> None:
        """Stop at once: no calls pass through the agent, and gateways place prompts without it."""
        self._events.record(Event.PROCESS_STOPPING)
        self._events.record(Event.PROCESS_STOPPED, dropped_lines=self._dropped_lines())
        self._stopped.set()

    def _make_relay(self) -> RelayServer | None:
        address, timeout_s = self._settings.store, self._settings.store_timeout_s
        if address is None:
            return None
        return RelayServer(
            lambda: PlatformStore(address, timeout_s=timeout_s),
            self._settings.zone,
            self._events,
            self._timer,
        )

    def _make_hello(self) -> Hello:
        return Hello(
            ConnectionKind.PROMPT,
            self._settings.process,
            self._incarnation,
            zone=self._settings.zone,
            region=self._settings.region,
            keeps_origins=True,
            paces_streams=True,
        )
