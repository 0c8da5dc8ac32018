"""Deterministic answers of the engine stand-in, so that a test can verify a whole answer.

The token at a position depends only on the digest of the prompt and the position. A token is three
letters and a space, which makes it 4 bytes long like an average token of text.
"""

from __future__ import annotations

import hashlib

DIGEST_BYTES = 16
LETTERS_PER_TOKEN = 3
ALPHABET_SIZE = 26
SHORTEST_ANSWER_TOKENS = 16
LONGEST_ANSWER_TOKENS = 256


def digest_prompt(prompt: bytes) -> bytes:
    """Return the digest that determines the answer to a prompt."""
    return hashlib.blake2b(prompt, digest_size=DIGEST_BYTES).digest()


def generate_token(digest: bytes, position: int) -> str:
    """Return the token at a position, counted from 0."""
    position_bytes = position.to_bytes(8, "big")
    value = hashlib.blake2b(position_bytes, key=digest, digest_size=LETTERS_PER_TOKEN).digest()
    return "".join(chr(ord("a") + byte % ALPHABET_SIZE) for byte in value) + " "


def choose_answer_length(digest: bytes) -> int:
    """Return the number of tokens after which an answer without `max_tokens` ends by itself."""
    span = LONGEST_ANSWER_TOKENS - SHORTEST_ANSWER_TOKENS + 1
    return SHORTEST_ANSWER_TOKENS + int.from_bytes(digest[:4], "big") % span


def expected_tokens(prompt: bytes, count: int | None = None) -> list[str]:
    """Return the tokens of the answer to a prompt.

    Args:
        prompt: Prompt text in UTF-8; for a chat, the messages' texts joined by newlines.
        count: `max_tokens` of the request; None for an answer that ends by itself.
    """
    digest = digest_prompt(prompt)
    length = choose_answer_length(digest) if count is None else count
    return [generate_token(digest, position) for position in range(length)]


def expected_text(prompt: bytes, count: int | None = None) -> str:
    """Return the text of the answer to a prompt; arguments as for `expected_tokens`."""
    return "".join(expected_tokens(prompt, count))
