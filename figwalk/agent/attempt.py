"""A call on its way through the agent."""

from __future__ import annotations

import math

import attrs
import trio

from figwalk.agent.key_memory import MAX_KEPT_BODY_BYTES
from figwalk.protocol.messages import Call
from figwalk.transport import Headers


@attrs.define(eq=False)
class Attempt:
    """A call on its way through the agent.

    Attributes:
        call: The call.
        scope: Cancelling it ends the call.
        deadline: Time at which the answer is worthless, or infinity.
        first_token_due: Time at which the first token is due, or infinity.
        sent: Whether the backend server may have received it.
        answered: Whether `Answer` went to the entry.
        detached: Whether the entry is gone and the call runs on for its kept answer.
        byte_count: Body bytes sent to the entry.
        complete: Whether the backend server's answer was whole.
        cut_code: Why the call was cut, or an empty string.
    """

    call: Call
    scope: trio.CancelScope
    deadline: float = math.inf
    first_token_due: float = math.inf
    sent: bool = False
    answered: bool = False
    detached: bool = False
    byte_count: int = 0
    complete: bool = False
    cut_code: str = ""

    @property
    def keyed(self) -> bool:
        """Whether the call may not be repeated."""
        return bool(self.call.claim_id)

    def cancel(self) -> None:
        """End the call for its entry; a keyed call that was sent runs on."""
        if self.keyed and self.sent:
            self.detached = True
        else:
            self.cut("cancelled")

    def cut(self, code: str) -> None:
        """End the call in any case."""
        self.cut_code = self.cut_code or code
        self.scope.cancel()


class KeptAnswer:
    """Collects the answer of a keyed call."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: Headers = []
        self._parts: list[bytes] = []
        self._size = 0

    @property
    def whole(self) -> bool:
        """Whether it is within the limit."""
        return self._size <= MAX_KEPT_BODY_BYTES

    @property
    def body(self) -> bytes:
        """The collected body."""
        return b"".join(self._parts)

    def add(self, data: bytes) -> None:
        """Add body bytes; those above the limit are counted and dropped."""
        self._size += len(data)
        if self.whole:
            self._parts.append(data)
