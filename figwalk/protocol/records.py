"""JSON records that figwalk and its operators append to the platform's log.

Streams: `config` holds `Publish` and `Snapshot`; `control` holds `LeaseClaim`, `LeaseRenewal` and
`RoleOrder`; `claims` holds `ClaimBatch`.
"""

from __future__ import annotations

import base64
import json
from typing import Any

import attrs
import cattrs

from figwalk.errors import FigwalkError
from figwalk.protocol.messages import Role

CONFIG_STREAM = "config"
CONTROL_STREAM = "control"
CLAIMS_STREAM = "claims"

JsonValue = Any  # Published configuration has a different structure for each path.


class MalformedRecordError(FigwalkError):
    """A log record can't be decoded; processes that read the log skip it."""


@attrs.frozen
class Change:
    """Change of one configuration path.

    Attributes:
        path: Configuration path, for example ``presets/peak``.
        value: New JSON value; None deletes the path.
        base: Revision of the path that the change is based on; 0 if the path did not exist.
    """

    path: str
    value: JsonValue
    base: int


@attrs.frozen
class Publish:
    """An operator's publication; valid if the base of every change is current at its offset."""

    record_id: str
    author: str
    changes: list[Change]


@attrs.frozen
class ConfigEntry:
    """The value and revision of one configuration path.

    Attributes:
        path: Configuration path.
        value: JSON value; None marks a deleted path.
        revision: Revision of its last change.
    """

    path: str
    value: JsonValue
    revision: int


@attrs.frozen
class Snapshot:
    """The whole configuration, which makes older records unnecessary.

    Attributes:
        record_id: Unique id of the record.
        revision: Log offset up to which the snapshot is complete.
        entries: All paths, including deleted ones.
    """

    record_id: str
    revision: int
    entries: list[ConfigEntry]


@attrs.frozen
class LeaseClaim:
    """Claim of the controller lease.

    Attributes:
        record_id: Unique id of the record.
        holder: Process that claims the lease.
        after: Offset of the last winning claim or valid renewal; -1 if there was none.
        ttl_s: Seconds that the lease lasts without a renewal.
    """

    record_id: str
    holder: str
    after: int
    ttl_s: float


@attrs.frozen
class LeaseRenewal:
    """Renewal of the lease by its holder; valid if `term` is the current one."""

    record_id: str
    holder: str
    term: int


@attrs.frozen
class RoleOrder:
    """Order to a backend server; valid if `term` is the current one at its offset.

    Attributes:
        record_id: Unique id of the record.
        term: Lease term under which the order was issued.
        backend: Backend server that the order is for.
        role: Role to switch to.
        model: Model to load; empty keeps the current one.
        adapter: Adapter to load; empty keeps the current one.
        version: Version to load; empty keeps the current one.
        reason: Reason for the controller's decision, shown in the timeline.
    """

    record_id: str
    term: int
    backend: str
    role: Role
    model: str = ""
    adapter: str = ""
    version: str = ""
    reason: str = ""


@attrs.frozen
class Claim:
    """Claim of an idempotency key; the first one by offset wins.

    Attributes:
        claim_id: Unique id of the claim.
        service: Service that the call is for.
        organisation: Organisation of the caller; each organisation has its own key space.
        key: The caller's idempotency key.
        digest: Digest of the request; a request with the same key and another digest is refused.
        backend: Backend server that is to run the call.
        incarnation: Incarnation of the agent beside that backend server.
    """

    claim_id: str
    service: str
    organisation: str
    key: str
    digest: str
    backend: str
    incarnation: int


@attrs.frozen
class Outcome:
    """Recorded response to a claimed call.

    Attributes:
        claim_id: Claim of the call.
        status: HTTP status.
        headers: Pairs of header name and value.
        body: Body in base64.
    """

    claim_id: str
    status: int
    headers: list[tuple[str, str]]
    body: str

    @property
    def body_bytes(self) -> bytes:
        """The decoded body."""
        return base64.b64decode(self.body)


@attrs.frozen
class Release:
    """Records that a claimed call did not run and never will, which frees its key."""

    claim_id: str


@attrs.frozen
class ClaimBatch:
    """Records of keyed calls in one append; applied in the order releases, claims, outcomes.

    Attributes:
        record_id: Unique id of the record.
        releases: Claims of calls that did not run.
        claims: New claims.
        outcomes: Recorded responses.
        key_memory_s: Seconds for which the keys of these claims are retained. The record contains
            it because processes can briefly have different revisions of the published limit, and
            all processes that read the log must agree on when a key is free again.
    """

    record_id: str
    releases: list[Release] = attrs.field(factory=list)
    claims: list[Claim] = attrs.field(factory=list)
    outcomes: list[Outcome] = attrs.field(factory=list)
    key_memory_s: float = 86400.0


Record = Publish | Snapshot | LeaseClaim | LeaseRenewal | RoleOrder | ClaimBatch

_CLASSES = {
    cls.__name__: cls
    for cls in (Publish, Snapshot, LeaseClaim, LeaseRenewal, RoleOrder, ClaimBatch)
}
_CONVERTER = cattrs.Converter(forbid_extra_keys=False)
_TYPE_KEY = "type"


def encode_record(record: Record) -> bytes:
    """Return a record as JSON."""
    content = _CONVERTER.unstructure(record)
    content[_TYPE_KEY] = type(record).__name__
    return json.dumps(content, separators=(",", ":")).encode()


def decode_record(data: bytes) -> Record:
    """Return the record that JSON data contains.

    Raises:
        MalformedRecordError: The data is not a record of a known type.
    """
    try:
        content = json.loads(data)
        cls = _CLASSES[content.pop(_TYPE_KEY)]
        return _CONVERTER.structure(content, cls)
    except (ValueError, KeyError, TypeError, AttributeError, cattrs.BaseValidationError) as error:
        raise MalformedRecordError(f"log record can't be read: {error!r}") from error


def encode_entries(entries: list[ConfigEntry]) -> bytes:
    """Return configuration entries as JSON."""
    return json.dumps(_CONVERTER.unstructure(entries), separators=(",", ":")).encode()


def decode_entries(data: bytes) -> list[ConfigEntry]:
    """Return the configuration entries that JSON data contains.

    Raises:
        MalformedRecordError: The data is not a list of entries.
    """
    try:
        return _CONVERTER.structure(json.loads(data), list[ConfigEntry])
    except (ValueError, KeyError, TypeError, cattrs.BaseValidationError) as error:
        raise MalformedRecordError(f"configuration entries can't be read: {error!r}") from error
