"""Exception tree of figwalk. Every message says what was wrong and what to do about it."""

from __future__ import annotations

from enum import StrEnum


class FigwalkError(Exception):
    """Base of all errors that figwalk raises on purpose.

    Args:
        message: What was wrong.
        remedy: What the reader of the message can do about it.
    """

    def __init__(self, message: str, *, remedy: str = "") -> None:
        self._message = message
        self._remedy = remedy
        super().__init__(f"{message}; {remedy}" if remedy else message)

    @property
    def message(self) -> str:
        """What was wrong."""
        return self._message

    @property
    def remedy(self) -> str:
        """What to do about it."""
        return self._remedy


class SettingsError(FigwalkError):
    """A settings file or published configuration is not valid.

    Args:
        faults: One line for each fault, with file and key.
    """

    def __init__(self, faults: list[str]) -> None:
        self._faults = tuple(faults)
        super().__init__("\n".join(faults), remedy="correct the named keys and check again")

    @property
    def faults(self) -> tuple[str, ...]:
        """One line for each fault."""
        return self._faults


class TransportError(FigwalkError):
    """A connection or its framing failed."""


class ConnectionLostError(TransportError):
    """The other side closed or reset the connection."""


class FrameTooLargeError(TransportError):
    """A peer announced a frame above the limit."""


class MalformedFrameError(TransportError):
    """A peer sent bytes that are not a valid frame or message."""


class HttpError(TransportError):
    """An HTTP exchange with another server failed."""


class HttpStatusError(HttpError):
    """An HTTP server answered with a status that the caller of the client does not expect."""

    def __init__(self, status: int, body: bytes) -> None:
        self._status = status
        self._body = body
        text = body[:200].decode("utf-8", "replace")
        super().__init__(f"unexpected HTTP status {status}: {text}")

    @property
    def status(self) -> int:
        """The HTTP status."""
        return self._status

    @property
    def body(self) -> bytes:
        """The answer's body."""
        return self._body


class LogError(FigwalkError):
    """The platform's log could not do what was asked."""


class LogUnavailableError(LogError):
    """The log refused the call or could not be reached; nothing was written."""


class LogRateLimitedError(LogUnavailableError):
    """The log takes no further append for a moment; nothing was written."""


class LogAnswerLostError(LogError):
    """An append got no answer; the record may or may not be in the log."""


class LogTruncatedError(LogError):
    """The log no longer keeps the records at the offset asked for.

    Args:
        oldest: First offset that the log still keeps.
    """

    def __init__(self, oldest: int) -> None:
        self._oldest = oldest
        super().__init__(
            f"the log dropped all records before offset {oldest}",
            remedy="start from the newest snapshot",
        )

    @property
    def oldest(self) -> int:
        """First offset that the log still keeps."""
        return self._oldest


class PublishConflictError(FigwalkError):
    """Another publication changed the same path first.

    Args:
        path: Configuration path in conflict.
        revision: Revision of the path that won.
    """

    def __init__(self, path: str, revision: int) -> None:
        self._path = path
        self._revision = revision
        super().__init__(
            f"{path!r} is already at revision {revision}",
            remedy=f"read revision {revision}, merge your change and publish again",
        )

    @property
    def path(self) -> str:
        """Configuration path in conflict."""
        return self._path

    @property
    def revision(self) -> int:
        """Revision of the path that won."""
        return self._revision


class CallOutcome(StrEnum):
    """What is known of a call that got no answer of its own."""

    NOT_RUN = "not_run"
    UNKNOWN = "outcome_unknown"


class RefusalError(FigwalkError):
    """A call was refused.

    Args:
        code: Machine-readable reason, for example ``overloaded``.
        message: What was wrong.
        status: HTTP status for the caller.
        outcome: What is known of the call over all its attempts.
        attempt: What is known of this attempt; the same as `outcome` if not given.
        retry_after_ms: Milliseconds after which a retry has a chance.
    """

    def __init__(
        self,
        code: str,
        message: str,
        *,
        status: int = 503,
        outcome: CallOutcome = CallOutcome.NOT_RUN,
        attempt: CallOutcome | None = None,
        retry_after_ms: int = 1000,
    ) -> None:
        self._code = code
        self._status = status
        self._outcome = outcome
        self._attempt = attempt if attempt is not None else outcome
        self._retry_after_ms = retry_after_ms
        super().__init__(message, remedy=f"retry after {retry_after_ms} ms")

    @property
    def code(self) -> str:
        """Machine-readable reason."""
        return self._code

    @property
    def status(self) -> int:
        """HTTP status for the caller."""
        return self._status

    @property
    def outcome(self) -> CallOutcome:
        """What is known of the call over all its attempts."""
        return self._outcome

    @property
    def attempt(self) -> CallOutcome:
        """What is known of this attempt."""
        return self._attempt

    @property
    def retry_after_ms(self) -> int:
        """Milliseconds after which a retry has a chance."""
        return self._retry_after_ms


class CallerError(FigwalkError):
    """The caller's request is not valid.

    Args:
        status: HTTP status, 400 to 499.
        code: Machine-readable reason, for example ``unknown_model``.
        message: What was wrong and what to send instead.
    """

    def __init__(self, status: int, code: str, message: str) -> None:
        self._status = status
        self._code = code
        super().__init__(message)

    @property
    def status(self) -> int:
        """HTTP status, 400 to 499."""
        return self._status

    @property
    def code(self) -> str:
        """Machine-readable reason."""
        return self._code
