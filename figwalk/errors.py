"""Exception hierarchy of figwalk.

Each message describes the fault; many also name a remedy.
"""

from __future__ import annotations

from enum import StrEnum


class FigwalkError(Exception):
    """Base class of all errors that figwalk raises deliberately.

    Args:
        message: Description of the fault.
        remedy: What the user or operator can do about it.
    """

    def __init__(self, message: str, *, remedy: str = "") -> None:
        self._message = message
        self._remedy = remedy
        super().__init__(f"{message}; {remedy}" if remedy else message)

    @property
    def message(self) -> str:
        """Description of the fault."""
        return self._message

    @property
    def remedy(self) -> str:
        """What the user or operator can do about the fault."""
        return self._remedy


class SettingsError(FigwalkError):
    """A settings file or published configuration is invalid.

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
    """A connection failed or carried invalid frames."""


class ConnectionLostError(TransportError):
    """The peer closed or reset the connection."""


class ListenError(TransportError):
    """The process can't listen on an address from its settings."""


class FrameTooLargeError(TransportError):
    """A peer announced a frame that exceeds the size limit."""


class MalformedFrameError(TransportError):
    """A peer sent bytes that are not a valid frame or message."""


class HttpError(TransportError):
    """An HTTP exchange with another server failed."""


class HttpStatusError(HttpError):
    """An HTTP server responded with a status that the user of the HTTP client didn't expect."""

    def __init__(self, status: int, body: bytes) -> None:
        self._status = status
        self._body = body
        text = body[:200].decode("utf-8", "replace")
        super().__init__(f"unexpected HTTP status {status}: {text}")

    @property
    def status(self) -> int:
        """HTTP status of the response."""
        return self._status

    @property
    def body(self) -> bytes:
        """Body of the response."""
        return self._body


class LogError(FigwalkError):
    """An operation on the platform's log failed."""


class LogUnavailableError(LogError):
    """The log refused the operation or could not be reached; it has written nothing."""


class LogRateLimitedError(LogUnavailableError):
    """The log's rate limit rejected an append; nothing was written."""


class LogAnswerLostError(LogError):
    """An append got no response; the record may or may not be in the log."""


class LogConflictError(LogError):
    """A conditional append was refused since the log has other records; nothing was written.

    Args:
        end: Offset after the newest record.
    """

    def __init__(self, end: int) -> None:
        self._end = end
        super().__init__(f"the log ends at offset {end}")

    @property
    def end(self) -> int:
        """Offset after the newest record."""
        return self._end


class LogTruncatedError(LogError):
    """The log no longer has the records at the requested offset.

    Args:
        oldest: First offset that the log still has.
    """

    def __init__(self, oldest: int) -> None:
        self._oldest = oldest
        super().__init__(
            f"the log dropped all records before offset {oldest}",
            remedy="start from the newest snapshot",
        )

    @property
    def oldest(self) -> int:
        """First offset that the log still has."""
        return self._oldest


class PublishConflictError(FigwalkError):
    """Another publication has already changed the same path.

    Args:
        path: Configuration path that both publications change.
        revision: Current revision of the path.
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
        """Configuration path that both publications change."""
        return self._path

    @property
    def revision(self) -> int:
        """Current revision of the path."""
        return self._revision


class CallOutcome(StrEnum):
    """Whether a call without a response may have run."""

    NOT_RUN = "not_run"
    UNKNOWN = "outcome_unknown"


class RefusalError(FigwalkError):
    """A call was refused.

    Args:
        code: Machine-readable reason, for example ``overloaded``.
        message: Description of the reason.
        status: HTTP status for the caller.
        outcome: Whether any attempt at the call may have run.
        attempt: Whether this attempt may have run; defaults to `outcome`.
        retry_after_ms: Milliseconds after which a retry may succeed.
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
        """Whether any attempt at the call may have run."""
        return self._outcome

    @property
    def attempt(self) -> CallOutcome:
        """Whether this attempt may have run."""
        return self._attempt

    @property
    def retry_after_ms(self) -> int:
        """Milliseconds after which a retry may succeed."""
        return self._retry_after_ms


class CallerError(FigwalkError):
    """The caller's request is invalid.

    Args:
        status: HTTP status, 400 to 499.
        code: Machine-readable reason, for example ``unknown_model``.
        message: Description of the fault, and what to send instead.
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
