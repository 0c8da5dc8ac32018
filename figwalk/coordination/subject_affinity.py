"""Selects a preferred engine for the shared parts of a prompt, the same one in all processes."""

from __future__ import annotations

import math
import sys
from collections.abc import Sequence
from hashlib import blake2b

from figwalk.coordination.engine_tracker import EngineTracker
from figwalk.protocol.messages import Role

# Weight of an engine whose role is decode or mixed, relative to one whose role is prefill. It is
# preferred for fewer subjects, because it prefills more slowly, and only for part of its time while
# it generates streams.
DECODE_ENGINE_WEIGHT = 0.3
HASH_BITS = 64


def find_preferred_engine(
    subject: Sequence[str], engines: Sequence[EngineTracker]
) -> EngineTracker | None:
    """Return the engine that all processes prefer for a subject, by rendezvous hashing."""
    if not subject or not engines:
        return None
    key = "/".join(subject)
    return max(engines, key=lambda engine: _score(key, engine))


def _score(key: str, engine: EngineTracker) -> float:
    """Return a score with which engines win keys in proportion to their weights."""
    weight = 1.0 if engine.entry.role is Role.PREFILL else DECODE_ENGINE_WEIGHT
    hashed = int.from_bytes(hash_pair(key, engine.entry.backend))
    share = (hashed + 1) / (2**HASH_BITS + 1)
    # The highest hashes are rounded to a share of 1, whose logarithm is 0.
    return weight / max(-math.log(share), sys.float_info.epsilon)


def hash_pair(key: str, backend: str) -> bytes:
    """Return a hash of a key and a backend server that is the same in all processes."""
    return blake2b(f"{key} {backend}".encode(), digest_size=HASH_BITS // 8).digest()
