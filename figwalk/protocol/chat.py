"""OpenAI-compatible request bodies and server-sent events of model calls."""

from __future__ import annotations

import json
import re

import attrs

from figwalk.errors import CallerError
from figwalk.protocol.prefix import estimate_tokens, hash_prefix_pieces
from figwalk.state.published import ServiceConfig
from figwalk.transport import ByteCharge

CHAT_PATH = "/v1/chat/completions"
COMPLETIONS_PATH = "/v1/completions"
MODELS_PATH = "/v1/models"
DEFAULT_MAX_TOKENS = 256
_MAX_TOKENS_FIELDS = ("max_completion_tokens", "max_tokens")
EVENT_END = b"\n\n"
EVENT_PREFIX = b"data: "
DONE_DATA = b"[DONE]"
DONE_EVENT = EVENT_PREFIX + DONE_DATA + EVENT_END
# Lines end with LF or CRLF, as in `EventStreamSplitter`, by which agents forward whole events.
_EVENT_BOUNDARY = re.compile(rb"(\r?\n\r?\n)")
MAX_TRANSCRIPT_BYTES = 8 * 1024 * 1024

JsonObject = dict[str, object]


@attrs.frozen
class ModelRequest:
    """A validated request to a model.

    Attributes:
        path: `/v1/chat/completions` or `/v1/completions`.
        model: Name of the requested model.
        stream: Whether the caller requested server-sent events.
        prompt: Prompt text in UTF-8.
        max_tokens: Maximum answer length in tokens.
        body: The complete JSON body.
    """

    path: str
    model: str
    stream: bool
    prompt: bytes = attrs.field(repr=False)
    max_tokens: int
    body: JsonObject = attrs.field(repr=False)

    @classmethod
    def parse(cls, path: str, data: bytes) -> ModelRequest:
        """Validate a request body and return the request.

        Raises:
            CallerError: The body is not a valid request; the message names the field.
        """
        body = _parse_object(data)
        model = body.get("model")
        if not isinstance(model, str) or not model:
            raise CallerError(400, "invalid_model", "model must be the name of a model")
        stream = body.get("stream", False)
        if not isinstance(stream, bool):
            raise CallerError(400, "invalid_stream", "stream must be true or false")
        if body.get("n", 1) != 1:
            raise CallerError(400, "invalid_n", "n must be 1; send one request for each answer")
        prompt = _chat_prompt(body) if path == CHAT_PATH else _completion_prompt(body)
        return cls(path, model, stream, prompt, _max_tokens(body), body)

    @property
    def prompt_tokens(self) -> int:
        """Estimated prompt length in tokens."""
        return estimate_tokens(self.prompt)

    @property
    def pieces(self) -> list[int]:
        """Hashes of the prompt's prefix pieces."""
        return hash_prefix_pieces(self.prompt)

    @property
    def sets_max_tokens(self) -> bool:
        """Whether the caller set the maximum answer length; otherwise it is a default."""
        return any(self.body.get(name) is not None for name in _MAX_TOKENS_FIELDS)

    @property
    def includes_usage(self) -> bool:
        """Whether the caller asked for an event with the usage at the end of a stream."""
        options = self.body.get("stream_options")
        return isinstance(options, dict) and bool(options.get("include_usage"))

    def check_limits(self, service: ServiceConfig) -> None:
        """Check the request against the service's limits.

        Raises:
            CallerError: The prompt or the requested answer length is above its limit.
        """
        if self.sets_max_tokens and self.max_tokens > service.max_output_tokens:
            raise CallerError(
                400,
                "max_tokens_too_large",
                f"max_tokens is {self.max_tokens}; send at most {service.max_output_tokens}",
            )
        if self.prompt_tokens > service.max_prompt_tokens:
            raise CallerError(
                400,
                "prompt_too_long",
                f"the prompt has about {self.prompt_tokens} tokens; "
                f"send at most {service.max_prompt_tokens}",
            )

    def resumed_body(self, tokens: list[str]) -> bytes:
        """Return a request body with which an engine continues after already generated tokens."""
        body = {**self.body, "resume_tokens": tokens}
        try:
            # With ASCII escapes, non-Latin text would take up to three times the bytes received.
            return json.dumps(body, ensure_ascii=False).encode()
        except UnicodeEncodeError:
            # Lone surrogates have no UTF-8 form.
            return json.dumps(body).encode()


def _parse_object(data: bytes) -> JsonObject:
    try:
        body = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise CallerError(400, "invalid_json", f"the body is not valid JSON: {error}") from error
    if not isinstance(body, dict):
        raise CallerError(400, "invalid_json", "the body must be a JSON object")
    return body


def _max_tokens(body: JsonObject) -> int:
    for name in _MAX_TOKENS_FIELDS:
        value = body.get(name)
        if value is None:
            continue
        if not isinstance(value, int) or isinstance(value, bool) or value < 1:
            raise CallerError(400, f"invalid_{name}", f"{name} must be a positive integer")
        return value
    return DEFAULT_MAX_TOKENS


def _chat_prompt(body: JsonObject) -> bytes:
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        raise CallerError(400, "invalid_messages", "messages must be a non-empty list")
    return "\n".join(_message_text(message) for message in messages).encode(errors="replace")


def _message_text(message: object) -> str:
    if not isinstance(message, dict) or not isinstance(message.get("role"), str):
        raise CallerError(400, "invalid_messages", "each message must be an object with a role")
    content = message.get("content")
    if content is None:
        return ""
    if isinstance(content, str):
        return content
    if isinstance(content, list):
        return "".join(_part_text(part) for part in content)
    raise CallerError(400, "invalid_messages", "content must be a string or a list of parts")


def _part_text(part: object) -> str:
    if isinstance(part, dict) and isinstance(part.get("text"), str):
        return part["text"]
    raise CallerError(400, "invalid_messages", "only text parts are supported in content")


def _completion_prompt(body: JsonObject) -> bytes:
    prompt = body.get("prompt")
    if not isinstance(prompt, str):
        raise CallerError(400, "invalid_prompt", "prompt must be a string")
    return prompt.encode(errors="replace")


@attrs.define
class StreamTranscript:
    """Server-sent events already sent to a caller, kept to resume an interrupted stream.

    Above `MAX_TRANSCRIPT_BYTES`, or without room, the events are no longer kept, so that streams
    without end do not exhaust the memory of the process.

    Args:
        held: Counts the events that are kept.
    """

    _held: ByteCharge
    _events: list[bytes] = attrs.field(factory=list)
    _last: bytes = b""
    _size_bytes: int = 0
    _resumable: bool = True

    def add(self, data: bytes) -> None:
        """Append complete events."""
        kept_bytes = self._size_bytes
        self._last = data
        self._size_bytes += len(data)
        if not self._resumable:
            return
        if self._size_bytes <= MAX_TRANSCRIPT_BYTES and self._held.try_add(len(data)):
            self._events.append(data)
            return
        self._resumable = False
        self._events.clear()
        self._held.remove(kept_bytes)

    @property
    def empty(self) -> bool:
        """Whether no event has been sent."""
        return not self._size_bytes

    @property
    def resumable(self) -> bool:
        """Whether all events are kept."""
        return self._resumable

    @property
    def done(self) -> bool:
        """Whether the final `[DONE]` has been sent."""
        return self._last.rstrip().endswith(DONE_DATA)

    @property
    def size_bytes(self) -> int:
        """Bytes of all events sent."""
        return self._size_bytes

    def has_finish_reason(self) -> bool:
        """Return whether the event that ends the answer's text has been sent."""
        choices = (event.get("choices") or [{}] for event in self._parse())
        return any(first.get("finish_reason") for first, *_ in choices)

    def has_usage(self) -> bool:
        """Return whether the event with the usage of the whole answer has been sent."""
        return any(event.get("usage") and not event.get("choices") for event in self._parse())

    def tokens(self) -> list[str]:
        """Return the generated texts, one for each event that contains text."""
        texts = (_event_text(event) for event in self._parse())
        return [text for text in texts if text]

    def identity(self) -> JsonObject:
        """Return `id` and `created` of the first event, which every later event must repeat."""
        events = self._parse()
        return {key: events[0][key] for key in ("id", "created") if events and key in events[0]}

    def _parse(self) -> list[JsonObject]:
        return parse_events(b"".join(self._events))


def parse_events(data: bytes) -> list[JsonObject]:
    """Return the JSON objects in complete server-sent events, without `[DONE]`."""
    payloads = (_event_data(block) for block, _ in _split_blocks(data))
    return [json.loads(payload) for payload in payloads if payload and payload != DONE_DATA]


def rewrite_identity(data: bytes, identity: JsonObject) -> bytes:
    """Return complete server-sent events with `id` and `created` replaced."""
    parts = []
    for block, boundary in _split_blocks(data):
        payload = _event_data(block)
        if payload and payload != DONE_DATA:
            block = EVENT_PREFIX + json.dumps({**json.loads(payload), **identity}).encode()
        parts += [block, boundary]
    return b"".join(parts)


def drop_choices(data: bytes) -> bytes:
    """Return complete server-sent events without those that have choices."""
    kept = (block + end for block, end in _split_blocks(data) if not _has_choices(block))
    return b"".join(kept)


def _split_blocks(data: bytes) -> list[tuple[bytes, bytes]]:
    """Return events with the boundary after each; the last one is empty if there is none."""
    parts = _EVENT_BOUNDARY.split(data)
    return list(zip(parts[::2], [*parts[1::2], b""], strict=True))


def _has_choices(block: bytes) -> bool:
    payload = _event_data(block)
    return bool(payload) and payload != DONE_DATA and bool(json.loads(payload).get("choices"))


def _event_data(block: bytes) -> bytes:
    """Return the data of one event; empty if it has only comments and other fields."""
    prefix = EVENT_PREFIX.strip()
    lines = (line.strip() for line in block.splitlines())
    return b"\n".join(line[len(prefix) :].strip() for line in lines if line.startswith(prefix))


def render_error_event(code: str, message: str) -> bytes:
    """Return the server-sent event that reports an incomplete stream to the caller."""
    content = {"error": {"type": "server_error", "code": code, "message": message}}
    return EVENT_PREFIX + json.dumps(content).encode() + EVENT_END


def _event_text(event: JsonObject) -> str:
    choices = event.get("choices") or [{}]
    delta = choices[0].get("delta") or {}
    return delta.get("content") or choices[0].get("text") or ""
