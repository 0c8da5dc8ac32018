"""Digests of the keys of organisations, which are held in place of the keys themselves."""

from __future__ import annotations

import secrets
from hashlib import blake2b

DIGEST_BYTES = 32
# Digests never leave the process. With a secret of its own, they can't be looked up in a table, and
# the time of a comparison tells nothing about a key.
_SECRET = secrets.token_bytes(32)


def digest_key(key: str) -> bytes:
    """Return the digest of a key; equal keys have equal digests within one process."""
    # JSON can hold surrogates, which UTF-8 has no code for.
    return blake2b(
        key.encode("utf-8", "surrogatepass"), key=_SECRET, digest_size=DIGEST_BYTES
    ).digest()
