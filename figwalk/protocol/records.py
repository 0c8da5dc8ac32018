"""Records that figwalk and its operators append to the platform's log, as JSON.

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

JsonValue = Any  # Any JSON value: published configuration has a shape for each path.


class MalformedRecordError(FigwalkError):
    """A log record is not of a known form; readers skip it."""


@attrs.frozen
class Change:
    """Change of one configuration path.

    Attributes:
        path: Configuration path, for example ``presets/peak``.
        value: New JSON value; None deletes the path.
        base: Revision of the path that the change was made from; 0 if it did not exist.
    """

    path: str
    value: JsonValue
    base: int


@attrs.frozen
class Publish:
    """An operator's publication; accepted if every base is current at its offset."""

    record_id: str
    author: str
    changes: list[Change]


@attrs.frozen
class ConfigEntry:
    """One configuration path.

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
    """The whole configuration, so that older records are no longer needed.

    Attributes:
        record_id: Unique id of the record.
        revision: Offset up to which it covers the log.
        entries: All paths, with deleted ones.
    """

    record_id: str
    revision: int
    entries: list[ConfigEntry]


@attrs.frozen
class LeaseClaim:
    """Claim of the controller lease.

    Attributes:
        record_id: Unique id of the record.
        holder: Process that claims.
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
        term: Term of the lease under which it was given.
        backend: Backend server that it is for.
        role: Role to take.
        model: Model to load; empty keeps the present one.
        adapter: Adapter to load; empty keeps the present one.
        version: Version to load; empty keeps the present one.
        reason: Why the controller decided so, for the time line.
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
        organisation: Organisation of the caller; keys of two organisations do not meet.
        key: The caller's idempotency key.
        digest: Digest of the request; another digest under the same key is refused.
        backend: Backend server that is to run the call.
        incarnation: Incarnation of the agent beside it.
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
    """Recorded answer of a claimed call.

    Attributes:
        claim_id: The claim.
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
        """The body."""
        return base64.b64decode(self.body)


@attrs.frozen
class Release:
    """A claimed call did not run and never will; the key is free again."""

    claim_id: str


@attrs.frozen
class ClaimBatch:
    """Records of keyed calls appended together; applied as releases, claims, outcomes.

    Attributes:
        record_id: Unique id of the record.
        releases: Claims that did not run.
        claims: New claims.
        outcomes: Recorded answers.
        key_memory_s: Seconds that the keys of these claims are remembered. It is part of the
            record because processes can have different revisions of the published limit for a
            moment, and all readers must agree on when a key is free again.
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
    """Return the JSON form of a record."""
    content = _CONVERTER.unstructure(record)
    content[_TYPE_KEY] = type(record).__name__
    return json.dumps(content, separators=(",", ":")).encode()


def decode_record(data: bytes) -> Record:
    """Return the record of a JSON form.

    Raises:
        MalformedRecordError: The bytes are not a known record.
    """
    try:
        content = json.loads(data)
        cls = _CLASSES[content.pop(_TYPE_KEY)]
        return _CONVERTER.structure(content, cls)
    except (ValueError, KeyError, TypeError, AttributeError, cattrs.BaseValidationError) as error:
        raise MalformedRecordError(f"log record can't be read: {error!r}") from error


def encode_entries(entries: list[ConfigEntry]) -> bytes:
    """Return the JSON form of configuration entries."""
    return json.dumps(_CONVERTER.unstructure(entries), separators=(",", ":")).encode()


def decode_entries(data: bytes) -> list[ConfigEntry]:
    """Return the configuration entries of a JSON form.

    Raises:
        MalformedRecordError: The bytes are not a list of entries.
    """
    try:
        return _CONVERTER.structure(json.loads(data), list[ConfigEntry])
    except (ValueError, KeyError, TypeError, cattrs.BaseValidationError) as error:
        raise MalformedRecordError(f"configuration entries can't be read: {error!r}") from error
