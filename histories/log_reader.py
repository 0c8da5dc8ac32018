"""Reads the streams of the log stand-in and judges their records apart from figwalk's own folds."""

from __future__ import annotations

import base64
import json

import attrs
import trio

from figwalk.errors import HttpError
from figwalk.protocol.records import (
    CONFIG_STREAM,
    CONTROL_STREAM,
    LeaseClaim,
    LeaseRenewal,
    MalformedRecordError,
    Publish,
    RoleOrder,
    decode_record,
)
from figwalk.state.settings import Address
from figwalk.transport import HttpClient
from histories.history import History, LoggedPublication, ValidOrder

POLL_S = 0.2
READ_TIMEOUT_S = 5.0
NO_OFFSET = -1


@attrs.define
class ConfigFold:
    """Decides on publications: accepted if every base is the present revision of its path."""

    history: History
    revisions: dict[str, int] = attrs.field(factory=dict)
    seen: set[str] = attrs.field(factory=set)

    def apply(self, offset: int, record_id: str, record: object) -> None:
        """Take in one record."""
        if not isinstance(record, Publish) or record_id in self.seen:
            return
        self.seen.add(record_id)
        accepted = all(self.revisions.get(c.path, 0) == c.base for c in record.changes)
        if accepted:
            self.revisions.update({change.path: offset + 1 for change in record.changes})
            self.history.head_revision = offset + 1
        change = record.changes[0]
        self.history.logged_publications.append(
            LoggedPublication(record.author, offset + 1, change.path, change.base, accepted)
        )


@attrs.define
class ControlFold:
    """Decides on lease and orders: an order is valid under the term that is current there."""

    history: History
    term: int = NO_OFFSET
    last_lease: int = NO_OFFSET
    seen: set[str] = attrs.field(factory=set)

    def apply(self, offset: int, record_id: str, record: object) -> None:
        """Take in one record."""
        if record_id in self.seen:
            return
        self.seen.add(record_id)
        if isinstance(record, LeaseClaim) and record.after == self.last_lease:
            self.term = self.last_lease = offset
        elif isinstance(record, LeaseRenewal) and record.term == self.term:
            self.last_lease = offset
        elif isinstance(record, RoleOrder) and record.term == self.term:
            self.history.valid_orders.append(
                ValidOrder(record.backend, offset, record.term, record.role.value)
            )


class LogReader:
    """Follows the streams `config` and `control` of the log stand-in.

    Args:
        address: Address of the log stand-in.
        history: Takes the publications and valid orders.
    """

    def __init__(self, address: Address, history: History) -> None:
        self._client = HttpClient(address.host, address.port)
        self._folds = {CONFIG_STREAM: ConfigFold(history), CONTROL_STREAM: ControlFold(history)}
        self._offsets = dict.fromkeys(self._folds, 0)

    def offset(self, stream: str) -> int:
        """Return the offset up to which a stream has been read."""
        return self._offsets.get(stream, 0)

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            await self.read_to_head()
            await trio.sleep(POLL_S)

    async def read_to_head(self) -> bool:
        """Read all streams to their heads and return whether the log answered."""
        whole = True
        for stream in self._folds:
            whole = await self._read(stream) and whole
        return whole

    async def _read(self, stream: str) -> bool:
        target = f"/streams/{stream}/records?from={self._offsets[stream]}"
        try:
            with trio.fail_after(READ_TIMEOUT_S):
                response, body = await self._client.fetch("GET", target)
        except (HttpError, trio.TooSlowError):
            return False
        if response.status != 200:
            return False
        content = json.loads(body)
        if content["oldest"] > self._offsets[stream]:
            raise RuntimeError(f"the log dropped records of {stream!r} before they were read")
        for item in content["records"]:
            self._apply(stream, item)
        return self._offsets[stream] >= content["head"]

    def _apply(self, stream: str, item: dict[str, object]) -> None:
        self._offsets[stream] = item["offset"] + 1
        try:
            record = decode_record(base64.b64decode(item["data"]))
        except MalformedRecordError:
            return
        self._folds[stream].apply(item["offset"], item["record_id"], record)
