"""Knows how long ago the store confirmed that the configuration in force is the newest one."""

from __future__ import annotations

import math

from figwalk.coordination.compacted_log import CompactedLog, KeyedPage
from figwalk.events import Event, EventLog
from figwalk.state.gateway_settings import RevocationSettings
from figwalk.timer import MS_PER_S, Timer

# A read confirms the configuration as of its start. Two reads that wait for a new record, and a
# timeout, have to fit into the largest age.
WAIT_SHARE = 0.3


class ConfigConfirmation:
    """Age of the newest confirmation of the configuration, and what strict revocation makes of it.

    The age includes time for which the VM was suspended.

    Args:
        settings: How keys are treated while the store is unavailable.
        events: Event log.
        timer: Source of time.
    """

    def __init__(self, settings: RevocationSettings, events: EventLog, timer: Timer) -> None:
        self._settings = settings
        self._events = events
        self._timer = timer
        self._confirmed_at = -math.inf
        self._was_too_old = False

    @property
    def is_too_old(self) -> bool:
        """Whether strict revocation forbids to rely on the keys in force."""
        settings = self._settings
        return settings.strict and self._age_s() * MS_PER_S > settings.max_age_ms

    def confirm(self, read_started_at: float) -> None:
        """Handle that a read of the configuration was answered.

        Args:
            read_started_at: Boot time at which it was sent.
        """
        self._confirmed_at = max(self._confirmed_at, read_started_at)

    def limit_wait_s(self, wait_s: float) -> float:
        """Return the seconds that a read may wait for a new configuration.

        Args:
            wait_s: Seconds that it would wait without strict revocation.
        """
        if not self._settings.strict:
            return wait_s
        return min(wait_s, WAIT_SHARE * self._settings.max_age_ms / MS_PER_S)

    def record_change(self) -> None:
        """Record in the event log if the configuration has become too old, or is confirmed."""
        too_old = self.is_too_old and self._confirmed_at > -math.inf
        if too_old == self._was_too_old:
            return
        self._was_too_old = too_old
        event = Event.CONFIG_UNCONFIRMED if too_old else Event.CONFIG_CONFIRMED
        self._events.record(event, age_s=round(self._age_s(), 3))

    def _age_s(self) -> float:
        return self._timer.boot_now() - self._confirmed_at


class ConfirmingLog(CompactedLog):
    """A log whose answers about the configuration's topic confirm the configuration.

    Args:
        log: The log.
        confirmation: Learns of the answers.
        timer: Source of time.
    """

    def __init__(self, log: CompactedLog, confirmation: ConfigConfirmation, timer: Timer) -> None:
        self._log = log
        self._confirmation = confirmation
        self._timer = timer
        self._era: int | None = None

    async def read_newest(self, topic: str) -> KeyedPage:
        """Return the newest record of each key; see `CompactedLog.read_newest`."""
        started_at = self._timer.boot_now()
        page = await self._log.read_newest(topic)
        if page.era is None or self._era is None or page.era >= self._era:
            self._era = page.era
            self._confirmation.confirm(started_at - page.age_s)
        return page

    async def read(self, topic: str, offset: int, *, wait_s: float = 0.0) -> KeyedPage:
        """Return the records from an offset; see `CompactedLog.read`."""
        started_at = self._timer.boot_now()
        page = await self._log.read(topic, offset, wait_s=wait_s)
        # In another era, the offset means other records, and the topic is listed again.
        if page.era == self._era:
            self._confirmation.confirm(started_at - page.age_s)
        return page
