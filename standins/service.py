"""Stand-in for a plain service: stock checks, water-calcium orders, payments and dispatches.

Calls:
  GET  /stock/{item}           units in stock
  POST /orders/water-calcium   {"item", "quantity"}: takes from the stock and gives an order number
  POST /payments, /dispatches  gives a receipt number
  any other method and path    an echo of method, path and body size
  GET  /runs                   {"runs": {key: count}, "without_key": {"METHOD PATH": count},
                               "starts": [{"key", "attempt", "at"}]}: how often each
                               Idempotency-Key ran, calls without a key, and when each call
                               started (Unix seconds) for which X-Attempt of the caller

The service itself does not deduplicate: a key that arrives twice runs twice, and `/runs` shows it.
Answers echo X-Request-Id. A run goes on when its client disconnects.

Faults (POST /faults):
  delay_ms           every run takes this much longer
  lose_answers       the next N calls run and their connection is closed; -1 for all
  errors             the next N calls get 500 and do not run; -1 for all
  errors_after_run   the next N calls run and get 500; -1 for all
  wrong_answers      the next N calls run and get the answer and id of the call before; -1 for all
"""

from __future__ import annotations

import argparse
import itertools
import json
import time
from collections import Counter

import attrs
import trio

from figwalk.transport import Headers, HttpRequest, Responder, render_error
from standins.base import Standin, build_parser, echo_headers, read_json_object, run_standin

MS_PER_S = 1000
KEY_HEADER = b"idempotency-key"
ATTEMPT_HEADER = b"x-attempt"
ORDER_PATH = "/orders/water-calcium"
RECEIPT_PATHS = ("/payments", "/dispatches")


@attrs.frozen
class ServiceFaults:
    """Faults of the service; the module documentation describes them."""

    delay_ms: float = 0.0
    lose_answers: int = 0
    errors: int = 0
    errors_after_run: int = 0
    wrong_answers: int = 0


@attrs.frozen
class Answer:
    """An answer as it goes to the client."""

    status: int
    headers: Headers
    body: bytes


@attrs.frozen
class RunStart:
    """Start of a run.

    Attributes:
        key: The Idempotency-Key, or an empty string.
        attempt: X-Attempt of the caller, or an empty string.
        at: Unix seconds.
    """

    key: str
    attempt: str
    at: float


class ServiceStandin(Standin):
    """The plain service.

    Args:
        options: Parsed command line.
    """

    def __init__(self, options: argparse.Namespace) -> None:
        super().__init__(ServiceFaults())
        self._work_s = options.work_ms / MS_PER_S
        self._initial_stock = options.stock
        self._stock: dict[str, int] = {}
        self._numbers = itertools.count(1)
        self._runs: Counter[str] = Counter()
        self._runs_without_key: Counter[str] = Counter()
        self._starts: list[RunStart] = []
        self._last_answer = Answer(200, [], b"{}")

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Run a call, or give the counts of runs."""
        if request.path == "/runs" and request.method == "GET":
            counts = {
                "runs": self._runs,
                "without_key": self._runs_without_key,
                "starts": [attrs.asdict(start) for start in self._starts],
            }
            await responder.send_json(200, counts, echo_headers(request))
        elif self.use_up("errors"):
            body = render_error("server_error", "failed", "the call did not run")
            await responder.send_json(500, body, echo_headers(request))
        else:
            await self._run_and_answer(request, responder)

    async def _run_and_answer(self, request: HttpRequest, responder: Responder) -> None:
        key, attempt = request.header(KEY_HEADER), request.header(ATTEMPT_HEADER)
        self._starts.append(RunStart(key, attempt, time.time()))
        await trio.sleep(self._work_s + self.faults.delay_ms / MS_PER_S)
        status, content = self._run(request)
        if self.use_up("errors_after_run"):
            status, content = 500, render_error("server_error", "failed", "failed after the run")
        headers = [(b"content-type", b"application/json"), *echo_headers(request)]
        previous = self._last_answer
        self._last_answer = Answer(status, headers, json.dumps(content).encode())
        if self.use_up("lose_answers"):
            return
        answer = previous if self.use_up("wrong_answers") else self._last_answer
        await responder.send(answer.status, answer.headers, answer.body)

    def _run(self, request: HttpRequest) -> tuple[int, dict[str, object]]:
        key = request.header(KEY_HEADER)
        if key:
            self._runs[key] += 1
        else:
            self._runs_without_key[f"{request.method} {request.path}"] += 1
        if request.method == "GET" and request.path.startswith("/stock/"):
            item = request.path.removeprefix("/stock/")
            return 200, {"item": item, "units": self._units(item)}
        if request.method == "POST" and request.path == ORDER_PATH:
            return self._order(read_json_object(request.body))
        if request.method == "POST" and request.path in RECEIPT_PATHS:
            return 201, {"receipt": next(self._numbers)}
        size = len(request.body)
        return 200, {"method": request.method, "path": request.path, "bytes": size}

    def _order(self, order: dict[str, object]) -> tuple[int, dict[str, object]]:
        item = str(order.get("item", "water-calcium"))
        quantity = order.get("quantity", 1)
        if not isinstance(quantity, int) or quantity < 1:
            return 400, render_error(
                "invalid_request_error", "invalid_quantity", "quantity must be a whole number >= 1"
            )
        if quantity > self._units(item):
            return 409, render_error("invalid_request_error", "out_of_stock", "not enough units")
        self._stock[item] = self._units(item) - quantity
        return 201, {"order": next(self._numbers), "item": item, "quantity": quantity}

    def _units(self, item: str) -> int:
        return self._stock.get(item, self._initial_stock)


def main() -> None:
    """Run the stand-in."""
    parser = build_parser("standins.service", __doc__)
    parser.add_argument("--work-ms", type=float, default=5.0, help="milliseconds that a run takes")
    parser.add_argument("--stock", type=int, default=1_000_000, help="units of each item at start")
    options = parser.parse_args()
    run_standin(ServiceStandin(options), options)


if __name__ == "__main__":
    main()
