"""Which backend server began each stream, so that the rest comes from the same software version."""

from __future__ import annotations

from hashlib import blake2b

import attrs

from figwalk.protocol.messages import StreamBegun
from figwalk.state.backend_directory import BackendEntry
from figwalk.timer import Timer

# Longer than callers wait for one stream over all their attempts.
ORIGIN_RETENTION_S = 60.0
# Bounds the memory, about 400 bytes each.
MAX_ORIGINS = 20_000
ATTEMPT_DIGEST_BYTES = 12


def digest_attempt(call_id: str) -> bytes:
    """Return the key of a stream: a digest of the id of the caller's attempt that began it.

    Callers choose the ids, which may have several kilobytes.
    """
    return blake2b(call_id.encode(), digest_size=ATTEMPT_DIGEST_BYTES).digest()


@attrs.frozen
class StreamOrigin:
    """The backend server that sent the first event of a stream.

    Attributes:
        service: Its service.
        software_version: Version of its software, or empty if it is uncertain, so that the stream
            can't go on.
        backend: Its id.
        born_ms: Wall-clock milliseconds of its start.
        begun_ms: Wall-clock milliseconds of the stream's first event.
    """

    service: str
    software_version: str
    backend: str
    born_ms: int
    begun_ms: int = 0

    @classmethod
    def from_entry(cls, entry: BackendEntry, begun_ms: int) -> StreamOrigin:
        """Return the origin of a stream that a registered backend server began.

        Args:
            entry: Registration that was used for the call.
            begun_ms: Wall-clock milliseconds of the first event.
        """
        return cls(entry.service, entry.software_version, entry.backend, entry.born_ms, begun_ms)

    @classmethod
    def from_message(cls, message: StreamBegun) -> StreamOrigin:
        """Return the origin that a message between processes contains."""
        return cls(
            message.service,
            message.software_version,
            message.backend,
            message.born_ms,
            message.begun_ms,
        )

    def to_message(self, attempt: bytes) -> StreamBegun:
        """Return the message that tells another process the origin of a stream."""
        return StreamBegun(
            attempt,
            self.service,
            self.software_version,
            self.backend,
            self.born_ms,
            self.begun_ms,
        )

    def fits(self, other: BackendEntry | StreamOrigin) -> bool:
        """Return whether the stream may go on at a backend server, or began at the same version."""
        if not self.software_version:
            return False
        return (other.service, other.software_version) == (self.service, self.software_version)


@attrs.frozen
class _Record:
    """A known origin, and when it was told last."""

    origin: StreamOrigin
    updated_at: float


class StreamOrigins:
    """The origins of recent streams by the digest of the attempt that began them.

    Args:
        timer: Source of time.
        max_origins: Number of streams above which the oldest are forgotten.
    """

    def __init__(self, timer: Timer, *, max_origins: int = MAX_ORIGINS) -> None:
        self._timer = timer
        self._max_origins = max_origins
        self._records: dict[bytes, _Record] = {}  # Oldest first.

    def __len__(self) -> int:
        return len(self._records)

    def add(self, attempt: bytes, origin: StreamOrigin) -> None:
        """Record the origin of a stream; if another version is known for it, it is uncertain."""
        known = self._records.pop(attempt, None)
        if known is not None and not known.origin.fits(origin):
            origin = attrs.evolve(origin, software_version="")
        self._records[attempt] = _Record(origin, self._timer.now())
        self._drop_old()

    def find(self, attempt: bytes) -> StreamOrigin | None:
        """Return the origin of a stream, which may be uncertain, or None if it is unknown."""
        record = self._records.get(attempt)
        if record is None or self._is_old(record):
            return None
        return record.origin

    def _drop_old(self) -> None:
        while self._records:
            oldest = next(iter(self._records))
            if len(self._records) <= self._max_origins and not self._is_old(self._records[oldest]):
                return
            del self._records[oldest]

    def _is_old(self, record: _Record) -> bool:
        return self._timer.now() - record.updated_at > ORIGIN_RETENTION_S
