"""Errors of the operator's command line."""

from __future__ import annotations

from figwalk.errors import FigwalkError


class UsageError(FigwalkError):
    """The command line names something that is not valid or does not exist."""


class AdminError(FigwalkError):
    """The operator API refused a call or sent no valid response."""


class AdminUnavailableError(AdminError):
    """The operator API could not be reached; nothing was published."""


class AdminAnswerLostError(AdminError):
    """The outcome of a publication is unknown: it may or may not be in effect."""


class AdminTokenError(AdminError):
    """The operator API rejected the bearer token."""


class AdminRefusedError(AdminError):
    """The operator API answered a call with an error that has no more specific class.

    Args:
        status: HTTP status.
        code: Machine-readable error code.
        message: Description of the error.
        remedy: What the operator can do about it.
    """

    def __init__(self, status: int, code: str, message: str, *, remedy: str) -> None:
        self._status = status
        self._code = code
        super().__init__(message, remedy=remedy)

    @property
    def status(self) -> int:
        """HTTP status."""
        return self._status

    @property
    def code(self) -> str:
        """Machine-readable error code."""
        return self._code
