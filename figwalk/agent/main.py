"""The process `figwalk-agent`, the only client of the backend server beside it."""

from __future__ import annotations

import argparse
import signal
import sys

import trio

from figwalk.agent.agent_config import AgentConfig
from figwalk.agent.backend_client import BackendClient
from figwalk.agent.backend_monitor import BackendMonitor
from figwalk.agent.cache_tracker import CacheTracker
from figwalk.agent.call_server import CallServer
from figwalk.agent.control_server import ControlServer
from figwalk.agent.desired_role import DesiredRole
from figwalk.agent.key_memory import KeyMemory
from figwalk.agent.load_reporter import LoadReporter
from figwalk.agent.metrics import PUBLISH_PERIOD_S, Metrics, MetricsPublisher
from figwalk.agent.order_executor import OrderExecutor
from figwalk.agent.peer_server import PeerServer, bind_peer_port
from figwalk.agent.serving_state import ServingState
from figwalk.agent.withdrawal import Withdrawal
from figwalk.coordination.admission import AdmissionQueue
from figwalk.errors import CallerError, SettingsError
from figwalk.events import Event, EventLog
from figwalk.log_output import configure_logging
from figwalk.protocol.messages import BackendState, ConnectionKind, Hello
from figwalk.state.settings import Address, AgentSettings
from figwalk.timer import Timer
from figwalk.transport import HttpRequest, HttpServer, Responder
from figwalk.transport.listening import find_listen_error

EXIT_BAD_SETTINGS = 2
EXIT_CAN_NOT_LISTEN = 1


class Agent:
    """Creates and connects the components of the agent, and runs them.

    Args:
        settings: Settings of the process.
        timer: Source of time.
    """

    def __init__(self, settings: AgentSettings, timer: Timer) -> None:
        backend = settings.backend
        self._settings = settings
        self._timer = timer
        self._events = EventLog(settings.process, timer)
        self._metrics = Metrics()
        self._stop_requested = trio.Event()
        self._serving = ServingState(self._events)
        self._admission = AdmissionQueue(
            timer, max_running=backend.max_running, queue_limit=settings.queue_limit
        )
        self._keys = KeyMemory(
            settings.key_memory_limit, on_new_incarnation=self._announce_incarnation
        )
        self._cache = CacheTracker()
        self._desired = DesiredRole(backend.name)
        self._config = AgentConfig(backend.name, self._events, on_change=self._apply_config)
        self._client = BackendClient(backend)
        self._monitor = BackendMonitor(
            self._client, self._serving, self._admission, self._cache, timer
        )
        self._reporter = LoadReporter(
            backend.name,
            serving=self._serving,
            admission=self._admission,
            monitor=self._monitor,
            desired=self._desired,
            config=self._config,
            metrics=self._metrics,
            timer=timer,
        )
        self._control = ControlServer(
            backend.name,
            reporter=self._reporter,
            report_s=settings.report_s,
            cache=self._cache,
            keys=self._keys,
            desired=self._desired,
            config=self._config,
            events=self._events,
        )
        self._calls = CallServer(
            backend=self._client,
            admission=self._admission,
            keys=self._keys,
            serving=self._serving,
            reporter=self._reporter,
            metrics=self._metrics,
            events=self._events,
            timer=timer,
        )
        self._withdrawal = Withdrawal(
            serving=self._serving,
            control=self._control,
            calls=self._calls,
            events=self._events,
            grace_s=settings.grace_s,
        )
        self._orders = OrderExecutor(
            backend=self._client,
            monitor=self._monitor,
            desired=self._desired,
            control=self._control,
            calls=self._calls,
            serving=self._serving,
            events=self._events,
            timer=timer,
        )
        self._serving.observe(self._apply_state)
        self._addresses: dict[str, Address] = {}

    @property
    def addresses(self) -> dict[str, Address]:
        """Bound addresses by name: `peers` and `health`."""
        return self._addresses

    @property
    def events(self) -> EventLog:
        """Event log of the process."""
        return self._events

    def stop(self) -> None:
        """Start the graceful shutdown."""
        self._stop_requested.set()

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until `stop` is called and the graceful shutdown has ended."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._start, nursery, task_status)
            await self._stop_requested.wait()
            await self._withdrawal.leave()
            nursery.cancel_scope.cancel()
        self._client.close()

    async def _start(self, nursery: trio.Nursery, task_status: trio.TaskStatus[None]) -> None:
        listener = await bind_peer_port(self._settings.peers, self._events)
        # Reads the engine's role and order number before the agent accepts the first call.
        await self._monitor.poll()
        self._monitor.start()
        self._start_metrics()
        peers = PeerServer(
            self._events,
            make_hello=self._make_hello,
            handlers={
                ConnectionKind.CONTROL: self._control.serve,
                ConnectionKind.CALL: self._calls.serve,
            },
        )
        nursery.start_soon(self._timer.run)
        nursery.start_soon(self._withdrawal.run)
        if self._client.is_engine:
            nursery.start_soon(self._orders.run)
        await nursery.start(peers.serve, listener)
        self._announce("peers", self._settings.peers.host, listener.socket.getsockname()[1])
        health = self._settings.health
        server = HttpServer(self._answer_health, self._events)
        self._announce(
            "health", health.host, await nursery.start(server.serve, health.host, health.port)
        )
        self._events.record(Event.PROCESS_STARTED, backend=self._settings.backend.name)
        task_status.started()

    def _announce(self, name: str, host: str, port: int) -> None:
        self._addresses[name] = Address(host, port)
        print(f"listening {name} {host}:{port}", flush=True)

    def _start_metrics(self) -> None:
        if self._settings.statsd is None:
            return
        publisher = MetricsPublisher(
            self._settings.statsd, self._settings.backend.name, self._metrics
        )

        async def publish() -> None:
            publisher.publish(self._reporter.build())

        self._timer.subscribe("metrics", PUBLISH_PERIOD_S, publish)

    def _make_hello(self, kind: ConnectionKind) -> Hello:
        settings = self._settings
        return Hello(
            kind,
            settings.process,
            self._keys.incarnation,
            settings.zone,
            settings.region,
            settings.backend.name,
            settings.backend.service,
            self._events.clock.tick(),
        )

    def _apply_state(self, state: BackendState) -> None:
        """Apply the state of the backend server to admission and report it to the entries."""
        if self._serving.refusal_code:
            self._admission.close(self._serving.refusal_code)
        else:
            self._admission.reopen()
        self._control.report_now()

    def _apply_config(self) -> None:
        self._admission.set_shares(self._config.shares)
        self._withdrawal.set_mode(self._config.withdrawal)
        self._control.report_now()

    def _announce_incarnation(self) -> None:
        self._control.send_hello(self._make_hello(ConnectionKind.CONTROL))

    async def _answer_health(self, request: HttpRequest, responder: Responder) -> None:
        state = self._serving.state
        if request.path == "/healthz":
            await responder.send_json(200, {"status": "ok"})
        elif request.path == "/readyz":
            status = 200 if state is BackendState.SERVING else 503
            await responder.send_json(status, {"state": state.value})
        else:
            raise CallerError(404, "not_found", "this port serves /healthz and /readyz")


async def run_agent(settings: AgentSettings) -> None:
    """Run the agent until SIGTERM or SIGINT, then stop it gracefully."""
    agent = Agent(settings, Timer())
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_stop_on_signal, signals, agent)
            await agent.run()
            nursery.cancel_scope.cancel()


async def _stop_on_signal(signals: object, agent: Agent) -> None:
    async for _ in signals:
        agent.stop()


def main() -> None:
    """Read the settings file and run the agent."""
    from figwalk.state.settings_file import load_settings

    parser = argparse.ArgumentParser(prog="figwalk-agent", description=__doc__)
    parser.add_argument("settings", help="YAML file with the settings of the agent")
    path = parser.parse_args().settings
    try:
        settings = load_settings(path, AgentSettings)
        configure_logging(settings.log_format)
    except SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    try:
        trio.run(run_agent, settings)
    except BaseExceptionGroup as group:
        error = find_listen_error(group)
        if error is None:
            raise
        print(error, file=sys.stderr)
        sys.exit(EXIT_CAN_NOT_LISTEN)


if __name__ == "__main__":
    main()
