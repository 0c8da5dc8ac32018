"""Runs the scripts of the review's cases, unchanged, against the code of this tree.

The scripts fill in the template of a gateway's settings themselves, with the fields that the
platform gave at the time of the review. Fields and sections that were added later are filled in
here, in a temporary copy of the review and the deploy files, and the script runs there.
"""

from __future__ import annotations

import os
import re
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Annotated

import typer

ROOT = Path(__file__).resolve().parents[1]
CASES = ("1", "2", "3")
TEMPLATE = "deploy/gateway.yaml"
# The platform gives neither strict revocation nor duties in these cases.
SECTION = re.compile(r"^\{\{#([^}]+)\}\}\n.*?^\{\{/\1\}\}\n", re.MULTILINE | re.DOTALL)
LATER_FIELDS = {
    "{{limits.memory-mb}}": "300",
    "{{bounds.lease-ms}}": "3000",
    "{{bounds.thaw-ms}}": "300",
    "{{bounds.require-fencing|json}}": "false",
}


def fill_later_fields(template: str) -> str:
    """Return a template without the fields and sections that the scripts don't know."""
    template = SECTION.sub("", template)
    for placeholder, value in LATER_FIELDS.items():
        template = template.replace(placeholder, value)
    return template


def run_case(case: str) -> int:
    """Run the script of a case; return its exit code: 0 held, 1 broken, 2 could not run.

    The script's record of the run is kept in `target/review/`.
    """
    with tempfile.TemporaryDirectory(prefix="figwalk-review-") as folder:
        copy = Path(folder)
        for name in ("review", "deploy", "figwalk"):
            shutil.copytree(ROOT / name, copy / name)
        (copy / "target").symlink_to(ROOT / "target")
        template = copy / TEMPLATE
        template.write_text(fill_later_fields(template.read_text()))
        code = subprocess.run([copy / "review" / case / "run.sh"], check=False).returncode
        record = copy / "review" / case / "record.txt"
        if record.exists():
            kept = ROOT / "target" / "review"
            kept.mkdir(parents=True, exist_ok=True)
            shutil.copy(record, kept / f"{case}.txt")
        return code


def main(
    cases: Annotated[list[str] | None, typer.Argument(help="Numbers of cases.")] = None,
) -> None:
    """Run cases one after the other; exit with the largest exit code."""
    codes = []
    for case in cases or CASES:
        settings = {
            name: os.environ[name]
            for name in ("TROUBLE", "CRASH", "PARTS", "SEQUENCE")
            if name in os.environ
        }
        typer.echo(f"review/{case}/run.sh {settings or ''}")
        codes.append(run_case(case))
        typer.echo(f"review/{case}/run.sh: exit code {codes[-1]}")
    sys.exit(max(codes))


if __name__ == "__main__":
    typer.run(main)
