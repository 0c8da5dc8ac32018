"""Hashes of prompt prefixes, as engines report them in their cache events."""

from __future__ import annotations

import hashlib

BYTES_PER_TOKEN = 4
PIECE_TOKENS = 2000
PIECE_BYTES = PIECE_TOKENS * BYTES_PER_TOKEN


def estimate_tokens(text: bytes) -> int:
    """Return the estimated number of tokens of a UTF-8 text."""
    return (len(text) + BYTES_PER_TOKEN - 1) // BYTES_PER_TOKEN


def hash_prefix_pieces(prompt: bytes) -> list[int]:
    """Return a 64-bit hash for each complete piece of a prompt.

    Hashes are chained: each one covers the prompt from its start to the end of the piece.
    """
    hashes: list[int] = []
    previous = b""
    for start in range(0, len(prompt) - PIECE_BYTES + 1, PIECE_BYTES):
        piece = prompt[start : start + PIECE_BYTES]
        previous = hashlib.blake2b(previous + piece, digest_size=8).digest()
        hashes.append(int.from_bytes(previous, "big"))
    return hashes
