"""Seeded callers and operators that note what they sent and what they got."""

from __future__ import annotations

import json
import random
import time
from collections.abc import Callable

import attrs
import trio

from figwalk.cli.admin_client import AdminClient
from figwalk.cli.errors import AdminAnswerLostError, AdminError
from figwalk.errors import FigwalkError, HttpError, PublishConflictError
from figwalk.protocol.records import Change
from figwalk.state.published import ORGANISATIONS_PREFIX
from figwalk.state.settings import Address
from figwalk.transport import HttpClient, HttpConnectError, HttpRequest
from histories.history import (
    ABANDONED,
    Answer,
    History,
    Invocation,
    Kind,
    Publication,
    PublishResult,
    digest_text,
)

MODEL = "ballast-7b"
CHAT_TARGET = "/v1/chat/completions"
TARGETS = {
    Kind.STOCK: "/services/depot/stock/",
    Kind.ORDER: "/services/depot/orders/water-calcium",
    Kind.PAYMENT: "/services/depot/payments",
}
SERVICE_DEADLINE_S = 10.0
CHAT_DEADLINE_S = 60.0
# An entry answers at the deadline; a caller that waits longer than this has lost its answer.
PATIENCE_S = 6.0
MEAN_PAUSE_S = 0.25
PHASE_S = 12.0  # The prompt-to-output ratio changes this often.
KEY_ATTEMPTS = 5
RETRY_PAUSE_S = 0.6
ABANDON_RATIO = 0.1
DUPLICATE_RATIO = 0.25
RACE_PATHS = 3
RACE_PAUSE_S = 0.8
OPERATOR_TIMEOUT_S = 15.0
READY_TARGET = "/readyz"
READY_PERIOD_S = 0.2
READY_TIMEOUT_S = 0.5

Addresses = Callable[[], dict[str, Address]]


@attrs.frozen
class Traffic:
    """How the callers are spread over kinds.

    Attributes:
        callers: Concurrent callers.
        weights: Weight of each kind.
    """

    callers: int = 10
    weights: dict[Kind, float] = attrs.field(
        factory=lambda: {
            Kind.CHAT_STREAM: 4,
            Kind.CHAT_WHOLE: 2,
            Kind.LONG_JOB: 4,
            Kind.STOCK: 3,
            Kind.ORDER: 4,
            Kind.PAYMENT: 2,
        }
    )


class Workload:
    """Callers and operators of one run.

    Args:
        seed: Seed of all choices.
        history: Takes what they see.
        callers: Gives the present caller address of each entry.
        admins: Gives the present operator address of each entry.
        token: Token of the operator API.
        traffic: How many callers do what.
    """

    def __init__(
        self,
        seed: int,
        history: History,
        *,
        callers: Addresses,
        admins: Addresses,
        token: str,
        traffic: Traffic | None = None,
    ) -> None:
        self._seed = seed
        self._history = history
        self._callers = callers
        self._admins = admins
        self._token = token
        self._traffic = traffic or Traffic()
        self._started_at = time.time()
        self._numbers = 0
        self._stopping = False
        self._ready: set[str] = set(callers())

    def stop(self) -> None:
        """Let every caller finish what it is at and send nothing further."""
        self._stopping = True

    async def run(self) -> None:
        """Run until `stop`."""
        async with trio.open_nursery() as balancing:
            for entry in self._callers():
                balancing.start_soon(self._watch_ready, entry)
            async with trio.open_nursery() as nursery:
                for number in range(self._traffic.callers):
                    nursery.start_soon(self._call, random.Random(f"{self._seed}-caller-{number}"))
                nursery.start_soon(self._race, random.Random(f"{self._seed}-operators"))
            balancing.cancel_scope.cancel()

    async def _watch_ready(self, entry: str) -> None:
        """Do what the platform's load balancer does: send only to entries that are ready."""
        while True:
            address = self._callers()[entry]
            client = HttpClient(address.host, address.port)
            ready = False
            with trio.move_on_after(READY_TIMEOUT_S):
                try:
                    response, _ = await client.fetch("GET", READY_TARGET)
                    ready = response.status == 200
                except HttpError:
                    ready = False
            client.close()
            (self._ready.add if ready else self._ready.discard)(entry)
            await trio.sleep(READY_PERIOD_S)

    def _balance(self) -> list[str]:
        """Return the ready entries, or all if none is."""
        return [entry for entry in self._callers() if entry in self._ready] or list(self._callers())

    async def _call(self, rng: random.Random) -> None:
        kinds = list(self._traffic.weights)
        weights = list(self._traffic.weights.values())
        while not self._stopping:
            kind = rng.choices(kinds, weights)[0]
            if kind is Kind.LONG_JOB and not self._is_prompt_heavy():
                kind = Kind.CHAT_STREAM
            if kind.is_keyed:
                await self._use_key(kind, rng)
            else:
                entry = rng.choice(self._balance())
                await self._send(self._invoke(kind, entry, rng))
            await trio.sleep(rng.expovariate(1 / MEAN_PAUSE_S))

    def _next_id(self, word: str) -> str:
        self._numbers += 1
        return f"{word}-{self._seed}-{self._numbers}"

    def _invoke(self, kind: Kind, entry: str, rng: random.Random, key: str = "") -> Invocation:
        name = self._next_id(kind.value.replace("_", "-"))
        prompt, max_tokens, deadline_s = "", 0, SERVICE_DEADLINE_S
        if kind.is_generation:
            prompt, max_tokens, deadline_s = self._choose_prompt(kind, name, rng)
        subject = name if kind is Kind.STOCK else ""
        return Invocation(
            name, kind, entry, time.time(), deadline_s, prompt, max_tokens, key, subject
        )

    def _choose_prompt(self, kind: Kind, name: str, rng: random.Random) -> tuple[str, int, float]:
        if kind is Kind.LONG_JOB:
            lines = rng.randint(300, 1500)
            rows = "\n".join(f"{name} tyre {row % 4} {row * 37 % 211} kPa" for row in range(lines))
            return f"Field log {name}\n{rows}", rng.randint(8, 40), rng.choice([8.0, 15.0, 30.0])
        tokens = rng.randint(4, 16) if self._is_prompt_heavy() else rng.randint(60, 250)
        return f"Question {name}: why is the fill ratio 75 percent?", tokens, CHAT_DEADLINE_S

    def _is_prompt_heavy(self) -> bool:
        return int((time.time() - self._started_at) / PHASE_S) % 2 == 1

    async def _use_key(self, kind: Kind, rng: random.Random) -> None:
        """Send one key until it has an answer, sometimes twice at once or giving up early."""
        key = self._next_id("key")
        quantity = str(rng.randint(1, 9))
        for _ in range(KEY_ATTEMPTS):
            entries = self._balance()
            rng.shuffle(entries)
            count = 2 if rng.random() < DUPLICATE_RATIO else 1
            patience_s = rng.uniform(0.0, 0.03) if rng.random() < ABANDON_RATIO else None
            answers: list[Answer] = []
            async with trio.open_nursery() as nursery:
                for entry in entries[:count]:
                    invocation = attrs.evolve(self._invoke(kind, entry, rng, key), subject=quantity)
                    nursery.start_soon(self._send_into, invocation, patience_s, answers)
            if all(answer.status in {200, 201} for answer in answers) and rng.random() < 0.8:
                return
            await trio.sleep(rng.uniform(0, 2 * RETRY_PAUSE_S))

    async def _send_into(
        self, invocation: Invocation, patience_s: float | None, answers: list[Answer]
    ) -> None:
        answers.append(await self._send(invocation, patience_s))

    async def _send(self, invocation: Invocation, patience_s: float | None = None) -> Answer:
        """Send a request on a connection of its own and note the answer."""
        invocation = attrs.evolve(invocation, sent_at=time.time())
        self._history.invocations[invocation.id] = invocation
        address = self._callers()[invocation.entry]
        client = HttpClient(address.host, address.port)
        limit_s = invocation.deadline_s + PATIENCE_S if patience_s is None else patience_s
        answer = Answer(invocation.id, 0.0, loss="timeout" if patience_s is None else ABANDONED)
        with trio.move_on_after(limit_s):
            answer = await _exchange(client, invocation)
        client.close()
        answer = attrs.evolve(answer, ended_at=time.time())
        self._history.answers[invocation.id] = answer
        return answer

    async def _race(self, rng: random.Random) -> None:
        """Let two operators publish the same path from what each has read."""
        count = 0
        while not self._stopping:
            count += 1
            path = f"{ORGANISATIONS_PREFIX}race-{rng.randrange(RACE_PATHS)}"
            entries = list(self._admins())
            rng.shuffle(entries)
            async with trio.open_nursery() as nursery:
                for operator in range(2):
                    author = f"operator-{operator}-{count}"
                    entry = entries[operator % len(entries)]
                    share = 1 + 2 * count + operator
                    nursery.start_soon(self._publish, author, entry, path, share)
            await trio.sleep(rng.expovariate(1 / RACE_PAUSE_S))

    async def _publish(self, author: str, entry: str, path: str, share: int) -> None:
        client = AdminClient(
            f"http://{self._admins()[entry]}", self._token, timeout_s=OPERATOR_TIMEOUT_S
        )
        try:
            base = (await client.fetch_config()).base(path)
        except FigwalkError:
            client.close()
            return
        sent_at = time.time()
        result, revision, detail = PublishResult.UNKNOWN, 0, ""
        try:
            revision = await client.publish([Change(path, {"share": share}, base)], author=author)
            result = PublishResult.ACCEPTED
        except PublishConflictError as error:
            result, revision = PublishResult.CONFLICT, error.revision
        except AdminAnswerLostError as error:
            detail = error.message
        except AdminError as error:
            result, detail = PublishResult.REFUSED, str(error)
        client.close()
        self._history.publications.append(
            Publication(author, entry, path, base, sent_at, time.time(), result, revision, detail)
        )


async def _exchange(client: HttpClient, invocation: Invocation) -> Answer:
    request = _build_request(invocation)
    parts: list[bytes] = []
    status = 0
    try:
        async with client.open(request) as response:
            status = response.status
            async for data in response.chunks():
                parts.append(data)
    except HttpConnectError as error:
        return Answer(invocation.id, 0.0, connected=False, loss=str(error))
    except HttpError as error:
        loss = f"{error}; ends with {b''.join(parts)[-200:]!r}"
        return Answer(invocation.id, 0.0, status=status, loss=loss)
    body = b"".join(parts)
    answer = Answer(
        invocation.id,
        0.0,
        status=status,
        whole=True,
        retry_after=bool(response.header(b"retry-after")),
        replayed=response.header(b"idempotent-replayed") == "true",
    )
    return _read_body(answer, invocation, body)


def _build_request(invocation: Invocation) -> HttpRequest:
    headers = [
        (b"x-request-id", invocation.id.encode()),
        (b"x-attempt", invocation.id.encode()),
        (b"content-type", b"application/json"),
        (b"connection", b"close"),
    ]
    if invocation.kind is Kind.STOCK:
        return HttpRequest("GET", TARGETS[Kind.STOCK] + invocation.subject, headers)
    if invocation.kind.is_keyed:
        headers.append((b"idempotency-key", invocation.key.encode()))
        body = {"item": "water-calcium", "quantity": int(invocation.subject)}
        return HttpRequest("POST", TARGETS[invocation.kind], headers, json.dumps(body).encode())
    if invocation.kind is Kind.LONG_JOB:
        headers.append((b"figwalk-deadline-ms", str(int(invocation.deadline_s * 1000)).encode()))
        headers.append((b"figwalk-priority", b"batch"))
    body = {
        "model": MODEL,
        "messages": [{"role": "user", "content": invocation.prompt}],
        "max_tokens": invocation.max_tokens,
        "stream": invocation.kind is Kind.CHAT_STREAM,
    }
    return HttpRequest("POST", CHAT_TARGET, headers, json.dumps(body).encode())


def _read_body(answer: Answer, invocation: Invocation, body: bytes) -> Answer:
    """Return the answer with what its body says."""
    if answer.status not in {200, 201}:
        return _read_error(answer, body)
    if invocation.kind is Kind.CHAT_STREAM:
        text, done = read_stream(body)
        if not done:
            return attrs.evolve(answer, whole=False, loss=f"no [DONE]; ends with {body[-200:]!r}")
        return _with_text(answer, text)
    content = json.loads(body)
    if invocation.kind.is_generation:
        return _with_text(answer, content["choices"][0]["message"]["content"])
    subject = str(content.get("item" if invocation.kind is Kind.STOCK else "quantity", ""))
    return attrs.evolve(answer, digest=digest_text(body.decode()), subject=subject)


def _with_text(answer: Answer, text: str) -> Answer:
    return attrs.evolve(answer, digest=digest_text(text), token_count=len(text.split()))


def _read_error(answer: Answer, body: bytes) -> Answer:
    try:
        error = json.loads(body)["error"]
    except (ValueError, KeyError, TypeError):
        return attrs.evolve(answer, code="not_json")
    return attrs.evolve(
        answer,
        code=str(error.get("code", "")),
        outcome=str(error.get("outcome", "")),
        attempt=str(error.get("attempt", "")),
    )


def read_stream(body: bytes) -> tuple[str, bool]:
    """Return the text of a streamed chat and whether it ended with `[DONE]`."""
    texts: list[str] = []
    done = False
    for line in body.decode().splitlines():
        data = line.removeprefix("data: ")
        if data == line:
            continue
        if data == "[DONE]":
            done = True
            continue
        for choice in json.loads(data).get("choices", []):
            texts.append(choice["delta"].get("content") or "")
    return "".join(texts), done
