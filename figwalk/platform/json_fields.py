"""Checked access to the fields of the platform's JSON objects."""

from __future__ import annotations

import json
import math
from typing import Any

from figwalk.errors import FigwalkError
from figwalk.state.settings import Address

MAX_PORT = 65535


class PlatformRecordError(FigwalkError):
    """A record of the platform does not have the content that its page describes."""


class JsonFields:
    """The fields of one JSON object.

    Args:
        content: Parsed JSON; anything but an object is refused.
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
        """Return a field with a whole number, not negative."""
        value = self.number(name, default)
        if value != int(value):
            raise PlatformRecordError(f"{self._where}: {name!r} is not a whole number")
        return int(value)

    def number(self, name: str, default: float | None = None) -> float:
        """Return a field with a finite number, not negative."""
        value = self._content.get(name, default)
        if isinstance(value, bool) or not isinstance(value, (int, float)):
            raise PlatformRecordError(f"{self._where}: {name!r} is not a number")
        if not math.isfinite(value) or value < 0:
            raise PlatformRecordError(f"{self._where}: {name!r} is {value}")
        return value

    def objects(self, name: str) -> list[JsonFields]:
        """Return a field with a list of objects."""
        items = self._read(name, list, [])
        return [JsonFields(item, f"{self._where}: {name}[{i}]") for i, item in enumerate(items)]

    def object(self, name: str) -> JsonFields:
        """Return a field with an object."""
        return JsonFields(self._content.get(name), f"{self._where}: {name}")

    def address(self, name: str) -> Address:
        """Return a field with an IP number and a port."""
        host, separator, port = self.text(name).rpartition(":")
        if not (separator and host and port.isdigit() and 0 < int(port) <= MAX_PORT):
            raise PlatformRecordError(f"{self._where}: {name!r} is not IP:PORT")
        return Address(host, int(port))

    def _read(self, name: str, kind: type, default: object) -> Any:
        value = self._content.get(name, default)
        if not isinstance(value, kind):
            raise PlatformRecordError(f"{self._where}: {name!r} is missing or of another type")
        return value
