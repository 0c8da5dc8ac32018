"""A caller's non-repeatable request, with its idempotency key, and its answer."""

from __future__ import annotations

import hashlib
import re
import uuid

import attrs

from figwalk.entry.caller_request import CallerRequest
from figwalk.errors import CallerError
from figwalk.transport import ByteCharge, Headers, HttpRequest

KEY_HEADER = b"idempotency-key"
MAX_KEY_LENGTH = 255
_KEY_PATTERN = re.compile(r"[\x21-\x7e]{1,255}")
_UUID7_VERSION = 7
_UUID7_TIME_SHIFT_BITS = 80


@attrs.frozen
class KeyedCall:
    """A caller's request that may not be repeated.

    Attributes:
        request: The caller's request.
        service: Name of the service that is called.
        target: Path and query at the backend server.
        key: The idempotency key.
        digest: Digest of method, target and body.
        held: Counts the answer.
    """

    request: CallerRequest
    service: str
    target: str
    key: str
    digest: str
    held: ByteCharge = attrs.field(eq=False, repr=False)

    @classmethod
    def from_request(
        cls, request: CallerRequest, *, service: str, target: str, held: ByteCharge
    ) -> KeyedCall:
        """Build a keyed call from a request after checking its idempotency key.

        Raises:
            CallerError: The request has no idempotency key, or the key is malformed.
        """
        key = request.http.header(KEY_HEADER)
        if not key:
            raise CallerError(
                400,
                "idempotency_key_required",
                "this call may not be repeated; send an Idempotency-Key header",
            )
        if not _KEY_PATTERN.fullmatch(key):
            raise CallerError(
                400,
                "invalid_idempotency_key",
                f"Idempotency-Key must have 1 to {MAX_KEY_LENGTH} printable ASCII characters",
            )
        return cls(request, service, target, key, _digest(request.http, target), held)

    @property
    def created_ms(self) -> int | None:
        """Creation time of a UUIDv7 key (RFC 9562) in ms since 1970, or None for other keys."""
        try:
            value = uuid.UUID(self.key)
        except ValueError:
            return None
        if value.version != _UUID7_VERSION:
            return None
        return value.int >> _UUID7_TIME_SHIFT_BITS


@attrs.frozen
class KeyedAnswer:
    """Answer to a keyed call.

    Attributes:
        status: HTTP status.
        headers: End-to-end headers.
        body: Body of the answer.
        replayed: Whether it is the answer to an earlier request with the same key.
    """

    status: int
    headers: Headers
    body: bytes
    replayed: bool


def _digest(http: HttpRequest, target: str) -> str:
    hasher = hashlib.blake2b(digest_size=16)
    for part in (http.method.encode(), target.encode(), http.body):
        hasher.update(len(part).to_bytes(8, "big"))
        hasher.update(part)
    return hasher.hexdigest()
