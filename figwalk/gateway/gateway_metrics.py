"""Counters and latency histograms of a gateway, in the Prometheus text format."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest
from prometheus_client.exposition import CONTENT_TYPE_LATEST

from figwalk.transport import ByteBudget, HttpRequest, Responder

# Bucket bounds. The users' latency targets are 0.15 to 0.3 s, and their timeouts 0.8 to 15 s.
LATENCY_BOUNDS_S = (0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.25, 0.3, 0.5, 1.0, 2.0, 5.0, 15.0)


class GatewayMetrics:
    """Metrics of one gateway, and their endpoint."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._answers = Histogram(
            "figwalk_answer_seconds",
            "Time from a request to the end of its answer.",
            ["service"],
            buckets=LATENCY_BOUNDS_S,
            registry=self._registry,
        )
        self._refusals = Counter(
            "figwalk_refusals",
            "Requests that got no answer of a backend server, by reason.",
            ["code"],
            registry=self._registry,
        )
        self._cancelled = Counter(
            "figwalk_cancelled",
            "Calls whose caller left, by whether they had been sent to a backend server.",
            ["sent"],
            registry=self._registry,
        )
        self._repeats = Counter(
            "figwalk_repeats",
            "Times that calls reached backend servers beyond the first.",
            ["service"],
            registry=self._registry,
        )
        self._charged_retries = Counter(
            "figwalk_charged_retries",
            "Retries that were taken from the budget.",
            ["service"],
            registry=self._registry,
        )
        self._take_ups = Counter(
            "figwalk_stream_take_ups",
            "Streams that callers asked the rest of, by whether it is known which software version "
            "began them.",
            ["origin"],
            registry=self._registry,
        )
        self._caller_repeats = Counter(
            "figwalk_caller_repeats",
            "Calls that came again without having been answered, by whether they came at the time "
            "that they were told.",
            ["tried"],
            registry=self._registry,
        )
        self._loop_lag = Gauge(
            "figwalk_loop_lag_seconds",
            "Time that a runnable task waits until it runs.",
            registry=self._registry,
        )
        self._config_version = Gauge(
            "figwalk_config_version", "Version of the configuration.", registry=self._registry
        )
        self._backends = Gauge(
            "figwalk_backends", "Registered backend servers.", registry=self._registry
        )
        self._paused_streams = Counter(
            "figwalk_paused_streams",
            "Streams with a pause between two events that was longer than their callers accept.",
            ["service"],
            registry=self._registry,
        )
        self._unfinished_answers = Counter(
            "figwalk_unfinished_answers",
            "Answers that had begun and of which callers did not get the end, by reason.",
            ["service", "code"],
            registry=self._registry,
        )
        self._connections = Gauge(
            "figwalk_backend_connections_opened",
            "Connections that were opened to the present backend servers so far.",
            registry=self._registry,
        )
        self._engine_crashes = Counter(
            "figwalk_engine_crashes",
            "Backend servers that ended while they worked on calls of this gateway.",
            registry=self._registry,
        )
        self._withdrawn_crashes = Counter(
            "figwalk_withdrawn_crashes",
            "Backend servers that counted as ended and went on.",
            registry=self._registry,
        )
        self._quarantined_parts = Gauge(
            "figwalk_quarantined_prompt_parts",
            "Parts whose prompts are refused because engines crash on them.",
            registry=self._registry,
        )
        self._quarantined_requests = Gauge(
            "figwalk_quarantined_requests",
            "Requests that are refused because backend servers crash on them.",
            registry=self._registry,
        )
        self._held = Gauge(
            "figwalk_held_bytes",
            "Bytes of requests and answers that are held.",
            registry=self._registry,
        )
        self._held_limit = Gauge(
            "figwalk_held_bytes_limit", "Bound of these bytes.", registry=self._registry
        )
        self._refused_bodies = Gauge(
            "figwalk_bodies_refused",
            "Bodies that were not read so far, since too many bytes were held.",
            registry=self._registry,
        )
        self._refused_keys = Counter(
            "figwalk_refused_keys",
            "Calls refused for the key of their organisation, by reason.",
            ["reason"],
            registry=self._registry,
        )
        self._organisations = Gauge(
            "figwalk_organisations",
            "Organisations in the configuration.",
            registry=self._registry,
        )
        self._organisation_keys = Gauge(
            "figwalk_organisation_keys",
            "Keys of organisations in the configuration.",
            registry=self._registry,
        )
        self._duties_held = Gauge(
            "figwalk_duties_held",
            "1 if this gateway carries out the duties for all.",
            registry=self._registry,
        )
        self._unwritten_windows = Gauge(
            "figwalk_usage_unwritten_windows",
            "Ended usage windows whose counts are not in the log yet.",
            registry=self._registry,
        )
        self._unsent_reports = Gauge(
            "figwalk_usage_unsent_reports",
            "Decided usage reports that the platform has not taken yet.",
            registry=self._registry,
        )
        self._limited_backends = Gauge(
            "figwalk_limited_backends",
            "Backend servers that are new or have recovered, and get limited calls.",
            registry=self._registry,
        )
        self._slow_backends = Gauge(
            "figwalk_slow_backends",
            "Backend servers that have shown to be slower than usual at their service.",
            registry=self._registry,
        )
        self._store_reads = Counter(
            "figwalk_store_reads",
            "Reads of followed topics, by whether this gateway called the store or an agent relayed"
            " them.",
            ["source"],
            registry=self._registry,
        )
        self._dropped_lines = Gauge(
            "figwalk_log_lines_dropped", "Log lines dropped so far.", registry=self._registry
        )

    def record_answer(self, service: str, took_s: float) -> None:
        """Count a call that a backend server answered completely, and its seconds."""
        self._answers.labels(service).observe(took_s)

    def record_refusal(self, code: str) -> None:
        """Count a request without an answer of a backend server."""
        self._refusals.labels(code).inc()

    def record_cancelled(self, *, sent: bool) -> None:
        """Count a call whose caller left, and whether it had been sent to a backend server."""
        self._cancelled.labels("yes" if sent else "no").inc()

    def record_repeats(self, service: str, repeats: int, charged: int) -> None:
        """Count the repeats of an ended call, and the retries taken from the budget for it."""
        if repeats or charged:
            self._repeats.labels(service).inc(repeats)
            self._charged_retries.labels(service).inc(charged)

    def record_take_up(self, *, known: bool) -> None:
        """Count a caller that asks for the rest of a stream, and whether its origin is known."""
        self._take_ups.labels("known" if known else "unknown").inc()

    def record_caller_repeat(self, tried: str) -> None:
        """Count a call that came again, early or at the time that it was told."""
        self._caller_repeats.labels(tried).inc()

    def record_loop_lag(self, lag_s: float) -> None:
        """Set the seconds that a runnable task waits until it runs."""
        self._loop_lag.set(lag_s)

    def record_config_version(self, version: int) -> None:
        """Set the version of the configuration in force."""
        self._config_version.set(version)

    def record_refused_key(self, reason: str) -> None:
        """Count a call that was refused for the key of its organisation."""
        self._refused_keys.labels(reason).inc()

    def record_organisations(self, *, organisations: int, keys: int) -> None:
        """Set the number of organisations in force, and of their keys."""
        self._organisations.set(organisations)
        self._organisation_keys.set(keys)

    def record_backend_count(self, count: int) -> None:
        """Set the number of registered backend servers."""
        self._backends.set(count)

    def record_paused_stream(self, service: str) -> None:
        """Count a stream with a pause that was longer than its caller accepts."""
        self._paused_streams.labels(service).inc()

    def record_unfinished_answer(self, service: str, code: str) -> None:
        """Count an answer that had begun and of which the caller did not get the end."""
        self._unfinished_answers.labels(service, code).inc()

    def record_opened_connections(self, count: int) -> None:
        """Set the connections that were opened to the present backend servers so far."""
        self._connections.set(count)

    def record_engine_crash(self) -> None:
        """Count a backend server that ended while it worked on calls."""
        self._engine_crashes.inc()

    def record_withdrawn_crash(self) -> None:
        """Count a backend server that counted as ended and goes on."""
        self._withdrawn_crashes.inc()

    def record_quarantine(self, *, parts: int, requests: int) -> None:
        """Set the number of parts whose prompts are refused, and of refused requests."""
        self._quarantined_parts.set(parts)
        self._quarantined_requests.set(requests)

    def record_held(self, budget: ByteBudget) -> None:
        """Set the bytes of requests and answers that are held, with their bound."""
        self._held.set(budget.held)
        self._held_limit.set(budget.limit)
        self._refused_bodies.set(budget.refused)

    def record_duties(self, *, held: bool, unwritten: int, unsent: int) -> None:
        """Set whether this gateway holds the lease, and how far its part in usage is behind.

        Args:
            held: Whether it holds the lease.
            unwritten: Ended windows whose counts are not in the log.
            unsent: Decided reports that were not taken.
        """
        self._duties_held.set(held)
        self._unwritten_windows.set(unwritten)
        self._unsent_reports.set(unsent)

    def record_pacing(self, *, limited: int, slow: int) -> None:
        """Set the number of backend servers with limited calls, and of slow ones."""
        self._limited_backends.set(limited)
        self._slow_backends.set(slow)

    def record_store_read(self, source: str) -> None:
        """Count a read of a followed topic that the store or a relay was asked for."""
        self._store_reads.labels(source).inc()

    def record_dropped_lines(self, count: int) -> None:
        """Set the number of log lines dropped since the start."""
        self._dropped_lines.set(count)

    async def handle(self, _request: HttpRequest, responder: Responder) -> None:
        """Answer a request with the current metrics."""
        content_type = (b"content-type", CONTENT_TYPE_LATEST.encode())
        await responder.send(200, [content_type], generate_latest(self._registry))
