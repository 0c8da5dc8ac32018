"""Metrics of an agent, sent to a statsd receiver once a second; docs/metrics.md lists them."""

from __future__ import annotations

from figwalk import metrics as statsd_metrics
from figwalk.coordination.admission import Ticket
from figwalk.protocol.messages import BackendState, LoadReport
from figwalk.state.settings import Address

PUBLISH_PERIOD_S = 1.0


class Metrics:
    """Counters of an agent since its start; the attribute names are part of the metric names."""

    def __init__(self) -> None:
        self.ended = 0
        self.failed = 0
        self.refused = 0
        self.prompt_tokens = 0
        self.generated_tokens = 0

    def count_call(self, ticket: Ticket) -> None:
        """Count an admitted call that has ended, and its tokens."""
        self.ended += 1
        if ticket.first_byte_at:
            self.prompt_tokens += ticket.work.prompt_tokens
        self.generated_tokens += ticket.generated


class MetricsPublisher:
    """Sends the counters and the newest load figures.

    Args:
        address: Metrics receiver (UDP).
        backend: Name of the backend server, part of every metric's name.
        metrics: Counters.
    """

    def __init__(self, address: Address, backend: str, metrics: Metrics) -> None:
        self._sender = statsd_metrics.Metrics(address, prefix=f"figwalk.agent.{backend}")
        self._metrics = metrics
        self._sent: dict[str, int] = {}

    def publish(self, report: LoadReport) -> None:
        """Send the increments of the counters and the load; lost datagrams are not sent again."""
        for name, total in vars(self._metrics).items():
            self._sender.count(f"calls.{name}", total - self._sent.get(name, 0))
            self._sent[name] = total
        self._sender.gauge("running", report.running)
        self._sender.gauge("queued", report.queued)
        self._sender.gauge("queue_wait_ms", report.queue_wait_ms)
        self._sender.gauge("order_offset", report.order_offset)
        self._sender.gauge("revision", report.revision)
        self._sender.gauge("serving", int(report.state is BackendState.SERVING))
        self._sender.send()
