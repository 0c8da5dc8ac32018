"""A caller's request that may not be repeated, and its answer."""

from __future__ import annotations

import hashlib
import re
import uuid

import attrs

from figwalk.entry.caller_request import CallerRequest
from figwalk.errors import CallerError
from figwalk.transport import Headers, HttpRequest

KEY_HEADER = b"idempotency-key"
MAX_KEY_LENGTH = 255
_KEY = re.compile(r"[\x21-\x7e]{1,255}")
_UUID7_VERSION = 7
_UUID7_TIME_SHIFT_BITS = 80


@attrs.frozen
class KeyedCall:
    """A caller's request that may not be repeated.

    Attributes:
        request: The caller's request.
        service: Service that it is for.
        target: Path and query at the backend server.
        key: The idempotency key.
        digest: Digest of method, target and body.
    """

    request: CallerRequest
    service: str
    target: str
    key: str
    digest: str

    @classmethod
    def from_request(cls, request: CallerRequest, *, service: str, target: str) -> KeyedCall:
        """Check the key of a request.

        Raises:
            CallerError: There is no key, or it has no valid form.
        """
        key = request.http.header(KEY_HEADER)
        if not key:
            raise CallerError(
                400,
                "idempotency_key_required",
                "this call may not be repeated; send an Idempotency-Key header",
            )
        if not _KEY.fullmatch(key):
            raise CallerError(
                400,
                "invalid_idempotency_key",
                f"Idempotency-Key must have 1 to {MAX_KEY_LENGTH} printable ASCII characters",
            )
        return cls(request, service, target, key, _digest(request.http, target))

    @property
    def made_ms(self) -> int | None:
        """Creation time of a UUIDv7 key (RFC 9562) since 1970, or None for other keys."""
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
        body: Body.
        replayed: Whether it is the answer of an earlier request with the same key.
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
