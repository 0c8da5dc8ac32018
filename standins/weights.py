"""Stand-in for the platform's weight store.

Calls:
  GET /weights/{model}/{version}   the weights: --size-bytes bytes that depend on model and version
  GET /downloads                   {"running", "completed", "refused"}: counts of downloads

All downloads together get --bytes-per-s. A download above --max-downloads gets 429 with
Retry-After.

Faults (POST /faults):
  outage           true: every download gets 503
  bytes_per_s      N: replaces --bytes-per-s, also for running downloads
  cut_after_bytes  N: the connection of every download is closed after about N bytes
"""

from __future__ import annotations

import argparse
import hashlib

import attrs
import trio

from figwalk.transport import HttpRequest, Responder, render_error
from standins.base import (
    Standin,
    build_parser,
    echo_headers,
    refuse_unknown_path,
    run_standin,
)

CHUNK_BYTES = 64 * 1024
BLOCK_BYTES = 64
RETRY_AFTER_S = 1


@attrs.frozen
class WeightsFaults:
    """Faults of the weight store; the module documentation describes them."""

    outage: bool = False
    bytes_per_s: float | None = None
    cut_after_bytes: int | None = None


def render_weights(model: str, version: str, size: int) -> bytes:
    """Return the weights of a model, the same at every call."""
    block = hashlib.blake2b(f"{model}\n{version}".encode(), digest_size=BLOCK_BYTES).digest()
    return (block * (size // BLOCK_BYTES + 1))[:size]


class SharedRate:
    """Spreads the chunks of all downloads in time."""

    def __init__(self) -> None:
        self._free_at = 0.0

    async def wait(self, size: int, bytes_per_s: float) -> None:
        """Wait until a chunk has had its time on the link."""
        self._free_at = max(self._free_at, trio.current_time()) + size / bytes_per_s
        await trio.sleep_until(self._free_at)


class WeightsStandin(Standin):
    """The weight store.

    Args:
        options: Parsed command line.
    """

    def __init__(self, options: argparse.Namespace) -> None:
        super().__init__(WeightsFaults())
        self._options = options
        self._rate = SharedRate()
        self._running = 0
        self._completed = 0
        self._refused = 0

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Serve a download."""
        parts = request.path.split("/")
        if request.method == "GET" and request.path == "/downloads":
            await responder.send_json(200, self._render_downloads())
        elif request.method != "GET" or len(parts) != 4 or parts[1] != "weights":
            await refuse_unknown_path(request, responder)
        elif self.faults.outage:
            self._refused += 1
            body = render_error("server_error", "unavailable", "the weight store is not available")
            await responder.send_json(503, body, echo_headers(request))
        elif self._running >= self._options.max_downloads:
            self._refused += 1
            body = render_error("rate_limit_error", "too_many_downloads", "retry later")
            headers = [(b"retry-after", str(RETRY_AFTER_S).encode()), *echo_headers(request)]
            await responder.send_json(429, body, headers)
        else:
            self._running += 1
            try:
                await self._send(parts[2], parts[3], responder)
            finally:
                self._running -= 1

    async def _send(self, model: str, version: str, responder: Responder) -> None:
        data = render_weights(model, version, self._options.size_bytes)
        await responder.start(200, [(b"content-length", str(len(data)).encode())])
        for start in range(0, len(data), CHUNK_BYTES):
            limit = self.faults.cut_after_bytes
            if limit is not None and start >= limit:
                return
            chunk = data[start : start + CHUNK_BYTES]
            rate = self.faults.bytes_per_s or self._options.bytes_per_s
            await self._rate.wait(len(chunk), rate)
            await responder.send_chunk(chunk)
        await responder.finish()
        self._completed += 1

    def _render_downloads(self) -> dict[str, int]:
        return {
            "running": self._running,
            "completed": self._completed,
            "refused": self._refused,
        }


def main() -> None:
    """Run the stand-in."""
    parser = build_parser("standins.weights", __doc__)
    parser.add_argument(
        "--size-bytes", type=int, default=4 * 1024 * 1024, help="size of each model's weights"
    )
    parser.add_argument(
        "--bytes-per-s", type=float, default=2e6, help="bytes a second of all downloads together"
    )
    parser.add_argument("--max-downloads", type=int, default=4, help="downloads at the same time")
    options = parser.parse_args()
    run_standin(WeightsStandin(options), options)


if __name__ == "__main__":
    main()
