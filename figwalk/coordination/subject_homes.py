"""Which engine all processes prefer for the shared parts of a prompt, without asking each other."""

from __future__ import annotations

import math
import sys
from collections.abc import Sequence
from hashlib import blake2b

from figwalk.coordination.engine_tracker import EngineTracker
from figwalk.protocol.messages import Role

# An engine with the role decode reads more slowly, and only in a part of its time while it streams.
DECODE_HOME_WEIGHT = 0.3
HASH_BITS = 64


def find_home(subject: Sequence[str], engines: Sequence[EngineTracker]) -> EngineTracker | None:
    """Return the engine that all processes prefer for a shared part, by rendezvous hashing."""
    if not subject or not engines:
        return None
    key = "/".join(subject)
    return max(engines, key=lambda engine: _weigh(key, engine))


def _weigh(key: str, engine: EngineTracker) -> float:
    """Return a rank by which engines win keys in proportion to their weights."""
    weight = 1.0 if engine.entry.role is Role.PREFILL else DECODE_HOME_WEIGHT
    hashed = int.from_bytes(hash_pair(key, engine.entry.backend))
    share = (hashed + 1) / (2**HASH_BITS + 1)
    # The highest hashes are rounded to a share of 1, whose logarithm is 0.
    return weight / max(-math.log(share), sys.float_info.epsilon)


def hash_pair(key: str, backend: str) -> bytes:
    """Return the rank of a backend server for a key, the same in all processes."""
    return blake2b(f"{key} {backend}".encode(), digest_size=HASH_BITS // 8).digest()
