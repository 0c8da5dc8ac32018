"""Output of commands: JSON, tables on a terminal, or tab-separated text in pipes and files."""

from __future__ import annotations

import json
import sys
from collections.abc import Sequence
from typing import Any

import attrs
from rich.console import Console
from rich.table import Table
from rich.text import Text

from figwalk.errors import FigwalkError, PublishConflictError, SettingsError


class Output:
    """Writes the result of one command to standard output.

    Args:
        as_json: Whether to write one JSON document instead of text.
    """

    def __init__(self, *, as_json: bool) -> None:
        self._as_json = as_json
        self._console = Console(file=sys.stdout, highlight=False, markup=False)

    @property
    def as_json(self) -> bool:
        """Whether the result is written as JSON."""
        return self._as_json

    def write_json(self, content: Any) -> None:
        """Write a JSON document."""
        print(json.dumps(content, indent=2, default=attrs.asdict))

    def write_line(self, text: str) -> None:
        """Write a line of text."""
        print(clean_text(text))

    def write_table(
        self, title: str, columns: Sequence[str], rows: Sequence[Sequence[Any]]
    ) -> None:
        """Write a table with a title.

        Args:
            title: Title, only written on a terminal.
            columns: Column names.
            rows: One value for each column; None and empty text are shown as a dash.
        """
        texts = [[format_cell(value) for value in row] for row in rows]
        if self._console.is_terminal:
            table = Table(*columns, title=title, title_justify="left")
            for row in texts:
                table.add_row(*(Text(cell) for cell in row))
            self._console.print(table)
            return
        for row in [list(columns), *texts]:
            print("\t".join(row))

    def write_error(self, error: FigwalkError) -> None:
        """Write an error: as JSON to standard output, as text to standard error."""
        if self._as_json:
            self.write_json({"error": describe_error(error)})
            return
        print(f"figwalk: {error.message}", file=sys.stderr)
        if error.remedy:
            print(f"  remedy: {error.remedy}", file=sys.stderr)


def describe_error(error: FigwalkError) -> dict[str, Any]:
    """Return an error as JSON content."""
    content: dict[str, Any] = {
        "type": type(error).__name__,
        "message": error.message,
        "remedy": error.remedy,
    }
    if isinstance(error, PublishConflictError):
        content |= {"path": error.path, "revision": error.revision}
    if isinstance(error, SettingsError):
        content["faults"] = list(error.faults)
    return content


def format_cell(value: Any) -> str:
    """Return the text of a table cell; a dash for None and empty text."""
    if value is None or value == "":
        return "-"
    if isinstance(value, float):
        return f"{value:.1f}"
    return clean_text(str(value))


def clean_text(text: str) -> str:
    """Replace non-printable characters, which could control a terminal or break a table."""
    return "".join(char if char.isprintable() else " " for char in text)
