"""The logs through which a gateway follows topics, with the relay's settings."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from figwalk.coordination.compacted_log import CompactedLog
from figwalk.events import EventLog
from figwalk.relay.read_limits import ReadLimits
from figwalk.relay.reader_choice import ReaderChoice
from figwalk.relay.relay_link import RelayLink
from figwalk.relay.relayed_log import RelayedLog
from figwalk.state.gateway_settings import GatewaySettings
from figwalk.timer import MS_PER_S, Timer

# Share of a deadline for which a gateway waits for an agent beyond the time of the read. The read
# that follows from the store itself and its timeout have to fit into the deadline, too.
MARGIN_SHARE = 0.1
# An agent holds a read of a topic without a deadline for this long before it answers without
# records, so that an idle topic takes few messages.
IDLE_HOLD_S = 10.0


class StoreRelay:
    """Makes the logs through which a gateway follows topics.

    Args:
        settings: Settings of the gateway.
        links: Returns the connections to agents.
        events: Event log.
        timer: Source of time.
        on_read: Called with `store` or `relay` for each read that was made there.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        links: Callable[[], Iterable[RelayLink]],
        events: EventLog,
        timer: Timer,
        *,
        on_read: Callable[[str], None],
    ) -> None:
        self._settings = settings
        self._links = links
        self._events = events
        self._timer = timer
        self._on_read = on_read
        self._choice = ReaderChoice(settings.zone, settings.relay.readers_per_zone, timer)

    def wrap_config(self, store: CompactedLog, wait_s: float) -> RelayedLog:
        """Return the log of a topic with the deadline of configurations.

        Args:
            store: The store.
            wait_s: Seconds that a read waits for a new record.
        """
        margin_s = MARGIN_SHARE * self._settings.config_deadline_ms / MS_PER_S
        return self._wrap(store, ReadLimits(wait_s=wait_s, hold_s=wait_s, margin_s=margin_s))

    def wrap_backends(self, store: CompactedLog) -> RelayedLog:
        """Return the log of a topic that is polled, with the deadline of departures."""
        margin_s = MARGIN_SHARE * self._settings.departure_deadline_ms / MS_PER_S
        limits = ReadLimits(period_s=self._settings.backends_period_s, margin_s=margin_s)
        return self._wrap(store, limits)

    def wrap_idle(self, store: CompactedLog, wait_s: float) -> RelayedLog:
        """Return the log of a topic without a deadline that changes rarely.

        Args:
            store: The store.
            wait_s: Seconds that a read waits for a new record.
        """
        margin_s = MARGIN_SHARE * self._settings.config_deadline_ms / MS_PER_S
        limits = ReadLimits(wait_s=wait_s, hold_s=max(wait_s, IDLE_HOLD_S), margin_s=margin_s)
        return self._wrap(store, limits)

    def _wrap(self, store: CompactedLog, limits: ReadLimits) -> RelayedLog:
        return RelayedLog(
            store,
            self._links,
            self._choice,
            limits,
            self._events,
            self._timer,
            zone=self._settings.zone,
            on_read=self._on_read,
        )
