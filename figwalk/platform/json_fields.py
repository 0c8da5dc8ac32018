"""Checked access to the fields of the platform's JSON objects."""

from __future__ import annotations

import ipaddress
import json
from typing import Any

from figwalk.errors import FigwalkError
from figwalk.state.settings import Address

MAX_PORT = 65535
# Above this, doubles do not represent every whole number; far larger ones can't be converted to
# floats at all.
MAX_NUMBER = 2**53
# For counts of tokens and requests in headers; 9 digits fit into the 32 bits of a peer message.
MAX_COUNT_DIGITS = 9
# Names of services and zones have a few dozen characters.
MAX_NAME_LENGTH = 255


class PlatformRecordError(FigwalkError):
    """A record of the platform does not have the specified content."""


def is_token(text: str) -> bool:
    """Return whether text is visible ASCII without a slash, as ids in headers and paths are."""
    return text.isascii() and text.isprintable() and not set(text) & {" ", "/"} and text != ""


def is_count(text: str) -> bool:
    """Return whether text is a whole number of at most `MAX_COUNT_DIGITS` digits."""
    return text.isascii() and text.isdigit() and len(text) <= MAX_COUNT_DIGITS


class JsonFields:
    """The fields of one JSON object.

    Args:
        content: Parsed JSON; anything but an object is rejected.
        where: Place of the object, for error messages.
    """

    def __init__(self, content: object, where: str) -> None:
        if not isinstance(content, dict):
            raise PlatformRecordError(f"{where} is not a JSON object")
        self._content = content
        self._where = where

    @classmethod
    def parse(cls, data: bytes, where: str) -> JsonFields:
        """Parse a JSON object.

        Raises:
            PlatformRecordError: The bytes are not a JSON object.
        """
        try:
            return cls(json.loads(data), where)
        except (ValueError, RecursionError) as error:
            raise PlatformRecordError(f"{where} is not valid JSON: {error}") from error

    def has(self, name: str) -> bool:
        """Return whether the object has a field that is not null."""
        return self._content.get(name) is not None

    def text(self, name: str, default: str | None = None) -> str:
        """Return a field with text."""
        return self._read(name, str, default)

    def flag(self, name: str, *, default: bool | None = None) -> bool:
        """Return a field with true or false."""
        return self._read(name, bool, default)

    def integer(self, name: str, default: int | None = None) -> int:
        """Return a field with a whole number that is not negative."""
        value = self.number(name, default)
        if value != int(value):
            raise PlatformRecordError(f"{self._where}: {name!r} is not a whole number")
        return int(value)

    def number(self, name: str, default: float | None = None) -> float:
        """Return a field with a number from 0 to `MAX_NUMBER`."""
        value = self._content.get(name, default)
        if isinstance(value, bool) or not isinstance(value, (int, float)):
            raise PlatformRecordError(f"{self._where}: {name!r} is not a number")
        if not 0 <= value <= MAX_NUMBER:
            raise PlatformRecordError(f"{self._where}: {name!r} is not from 0 to {MAX_NUMBER}")
        return value

    def items(self, name: str) -> list[object]:
        """Return a field with a list of anything; without the field, an empty list."""
        return self._read(name, list, [])

    def objects(self, name: str) -> list[JsonFields]:
        """Return a field with a list of objects."""
        items = self._read(name, list, [])
        return [JsonFields(item, f"{self._where}: {name}[{i}]") for i, item in enumerate(items)]

    def rows(self, name: str, length: int) -> list[list[object]]:
        """Return a field with a list of rows, each of at least `length` columns."""
        rows = self._read(name, list, None)
        for i, row in enumerate(rows):
            if not isinstance(row, list) or len(row) < length:
                raise PlatformRecordError(
                    f"{self._where}: {name}[{i}] has fewer than {length} columns"
                )
        return rows

    def object(self, name: str) -> JsonFields:
        """Return a field with an object."""
        return JsonFields(self._content.get(name), f"{self._where}: {name}")

    def address(self, name: str) -> Address:
        """Return a field with an IP address and a port."""
        host, separator, port = self.text(name).rpartition(":")
        try:
            ipaddress.ip_address(host)
            number = int(port) if port.isascii() and port.isdigit() else 0
        except ValueError:
            number = 0
        # The scope of an IPv6 address is valid on one VM only, and may hold any text.
        if not (separator and "%" not in host and 0 < number <= MAX_PORT):
            raise PlatformRecordError(f"{self._where}: {name!r} is not IP:PORT")
        return Address(host, number)

    def token(self, name: str) -> str:
        """Return a field with text that a header can carry: visible ASCII without a slash."""
        text = self.text(name)
        if not is_token(text):
            raise PlatformRecordError(f"{self._where}: {name!r} is not visible ASCII")
        return text

    def short_token(self, name: str) -> str:
        """Return a field with the name of a service or zone: a short token."""
        text = self.token(name)
        if len(text) > MAX_NAME_LENGTH:
            raise PlatformRecordError(
                f"{self._where}: {name!r} has {len(text)} characters, above {MAX_NAME_LENGTH}"
            )
        return text

    def _read(self, name: str, kind: type, default: object) -> Any:
        value = self._content.get(name, default)
        if not isinstance(value, kind):
            raise PlatformRecordError(f"{self._where}: {name!r} is missing or has the wrong type")
        return value
