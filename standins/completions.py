"""OpenAI-compatible bodies of the engine stand-in: requests, events of a stream, whole answers."""

from __future__ import annotations

import json
import time
from typing import Any

import attrs

from figwalk.errors import CallerError
from figwalk.protocol.prefix import estimate_tokens
from standins.base import read_json_object
from standins.text import choose_answer_length, digest_prompt

CHAT_PATH = "/v1/chat/completions"
COMPLETIONS_PATH = "/v1/completions"
DONE_EVENT = b"data: [DONE]\n\n"


@attrs.frozen
class GenerationRequest:
    """A checked request.

    Attributes:
        chat: Whether it is a chat.
        model: Model asked for; empty for the loaded one.
        prompt: Prompt text; for a chat, the messages' texts joined by newlines.
        digest: Digest of the prompt.
        length: Tokens of the whole answer.
        finish_reason: `length` if the answer ends at `max_tokens`, else `stop`.
        stream: Whether the answer is streamed.
        include_usage: Whether a stream ends with an event with the usage.
        resume_tokens: Tokens already generated.
        kv_import: Pieces to import before the prefill.
    """

    chat: bool
    model: str
    prompt: bytes = attrs.field(repr=False)
    digest: bytes
    length: int
    finish_reason: str
    stream: bool
    include_usage: bool
    resume_tokens: list[str]
    kv_import: list[int]

    @classmethod
    def parse(cls, path: str, data: bytes) -> GenerationRequest:
        """Check a request body.

        Raises:
            CallerError: A field is missing or has the wrong type or value.
        """
        body = read_json_object(data)
        chat = path == CHAT_PATH
        prompt = (_read_chat(body) if chat else _read_prompt(body)).encode(errors="replace")
        digest = digest_prompt(prompt)
        max_tokens = _read_max_tokens(body)
        stream_options = body.get("stream_options") or {}
        if not isinstance(stream_options, dict):
            raise CallerError(400, "invalid_stream_options", "stream_options must be an object")
        return cls(
            chat=chat,
            model=str(body.get("model") or ""),
            prompt=prompt,
            digest=digest,
            length=choose_answer_length(digest) if max_tokens is None else max_tokens,
            finish_reason="stop" if max_tokens is None else "length",
            stream=bool(body.get("stream", False)),
            include_usage=bool(stream_options.get("include_usage", False)),
            resume_tokens=_read_list(body, "resume_tokens", str),
            kv_import=_read_list(body, "kv_import", int),
        )

    @property
    def prompt_tokens(self) -> int:
        """Estimated length of the prompt; an empty one counts as one token."""
        return max(estimate_tokens(self.prompt), 1)


class AnswerRenderer:
    """Renders the answer to one request.

    Args:
        request: The request.
        answer_id: Id of the answer.
        model: Loaded model.
    """

    def __init__(self, request: GenerationRequest, answer_id: str, model: str) -> None:
        self._request = request
        self._head = {
            "id": answer_id,
            "object": "chat.completion" if request.chat else "text_completion",
            "created": int(time.time()),
            "model": model,
        }
        self._event_head = dict(self._head)
        if request.chat:
            self._event_head["object"] = "chat.completion.chunk"

    def render_role_event(self) -> bytes:
        """Return the first event of a chat stream; empty for others and for a resumed stream."""
        if not self._request.chat or self._request.resume_tokens:
            return b""
        return self._render_choice_event({"delta": {"role": "assistant", "content": ""}}, None)

    def render_token_event(self, token: str) -> bytes:
        """Return the event of one token."""
        content = {"delta": {"content": token}} if self._request.chat else {"text": token}
        return self._render_choice_event(content, None)

    def render_end_events(self) -> bytes:
        """Return the events after the last token, with `[DONE]`."""
        content: dict[str, Any] = {"delta": {}} if self._request.chat else {"text": ""}
        data = self._render_choice_event(content, self._request.finish_reason)
        if self._request.include_usage:
            usage = {"choices": [], "usage": self._render_usage()}
            data += _render_event({**self._event_head, **usage})
        return data + DONE_EVENT

    def render_whole(self, text: str) -> bytes:
        """Return the body of an answer that is not streamed."""
        choice: dict[str, Any] = {"index": 0, "finish_reason": self._request.finish_reason}
        if self._request.chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        content = {**self._head, "choices": [choice], "usage": self._render_usage()}
        return json.dumps(content).encode()

    def _render_choice_event(self, content: dict[str, Any], finish_reason: str | None) -> bytes:
        choice = {"index": 0, **content, "finish_reason": finish_reason}
        return _render_event({**self._event_head, "choices": [choice]})

    def _render_usage(self) -> dict[str, int]:
        prompt_tokens = self._request.prompt_tokens
        return {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": self._request.length,
            "total_tokens": prompt_tokens + self._request.length,
        }


def _render_event(content: dict[str, Any]) -> bytes:
    return b"data: " + json.dumps(content, separators=(",", ":")).encode() + b"\n\n"


def _read_chat(body: dict[str, Any]) -> str:
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        raise CallerError(400, "invalid_messages", "messages must be a list with a message")
    return "\n".join(_read_message(message) for message in messages)


def _read_message(message: object) -> str:
    content = message.get("content") if isinstance(message, dict) else 0
    if content is None or isinstance(content, str):
        return content or ""
    if isinstance(content, list) and all(isinstance(part, dict) for part in content):
        return "".join(str(part.get("text", "")) for part in content)
    raise CallerError(400, "invalid_messages", "a message must be an object with a text content")


def _read_prompt(body: dict[str, Any]) -> str:
    prompt = body.get("prompt")
    if not isinstance(prompt, str):
        raise CallerError(400, "invalid_prompt", "prompt must be a string")
    return prompt


def _read_max_tokens(body: dict[str, Any]) -> int | None:
    for name in ("max_completion_tokens", "max_tokens"):
        value = body.get(name)
        if value is None:
            continue
        if not isinstance(value, int) or value < 1:
            raise CallerError(400, f"invalid_{name}", f"{name} must be a whole number above 0")
        return value
    return None


def _read_list(body: dict[str, Any], name: str, item_type: type) -> list[Any]:
    items = body.get(name) or []
    if not isinstance(items, list) or not all(isinstance(item, item_type) for item in items):
        kind = item_type.__name__
        raise CallerError(400, f"invalid_{name}", f"{name} must be a list of {kind} values")
    return items
