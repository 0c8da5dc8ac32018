"""Execution state of a call in the agent, and the stored answer of a keyed call."""

from __future__ import annotations

import math

import attrs
import trio

from figwalk.agent.key_memory import MAX_STORED_BODY_BYTES
from figwalk.protocol.messages import Call
from figwalk.transport import Headers


@attrs.define(eq=False)
class Attempt:
    """Execution state of one call in the agent.

    Attributes:
        call: The call as received from the entry.
        scope: Cancel scope that ends the call.
        deadline: Time after which the caller has no use for the answer, or infinity.
        first_token_due: Time at which the first token is due, or infinity.
        sent: Whether the backend server may have received the call.
        answered: Whether the agent has sent, or collected for sending, an `Answer` to the entry.
        detached: Whether the entry no longer waits, and the call runs on so that its answer is
            stored.
        byte_count: Body bytes sent to the entry.
        complete: Whether the backend server's answer was complete.
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
        """Whether the call has a claim and so may not be repeated."""
        return bool(self.call.claim_id)

    def cancel(self) -> None:
        """End the call, or only detach it from its entry if it is keyed and was sent."""
        if self.keyed and self.sent:
            self.detached = True
        else:
            self.cut("cancelled")

    def cut(self, code: str) -> None:
        """End the call, also if it is keyed and was sent."""
        self.cut_code = self.cut_code or code
        self.scope.cancel()


class StoredAnswer:
    """Collects the answer of a keyed call, so that it can be sent again."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: Headers = []
        self._parts: list[bytes] = []
        self._size = 0

    @property
    def within_limit(self) -> bool:
        """Whether the body is within the size limit."""
        return self._size <= MAX_STORED_BODY_BYTES

    @property
    def body(self) -> bytes:
        """Body as collected so far."""
        return b"".join(self._parts)

    def add(self, data: bytes) -> None:
        """Add body bytes; bytes above the size limit are counted but dropped."""
        self._size += len(data)
        if self.within_limit:
            self._parts.append(data)
