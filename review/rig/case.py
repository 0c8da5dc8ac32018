"""Frame of a case: temporary folder, record file, verdict, and the end of all processes."""

from __future__ import annotations

import asyncio
import os
import sys
import tempfile
import time
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from rig.processes import Program

HELD, BROKEN, NOT_RUN = 0, 1, 2


class Case:
    """One run of a case.

    Attributes:
        trouble: Whether the disruption takes place.
        folder: Temporary folder.
        programs: Processes to end.
    """

    def __init__(self, folder: Path, record: Path) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = folder
        self.programs: list[Program] = []
        self._record = record.open("w")
        self._started_at = time.monotonic()

    @property
    def now(self) -> float:
        """Seconds since the start of the run."""
        return time.monotonic() - self._started_at

    def note(self, text: str) -> None:
        """Write a line to the record."""
        self._record.write(f"{self.now:8.3f} {text}\n")

    def say(self, text: str) -> None:
        """Write a line to the record and to standard output."""
        self.note(text)
        print(text, flush=True)

    async def start(self, program: Program) -> None:
        """Start a process that ends with the run."""
        self.programs.append(program)
        await program.start()

    async def end(self) -> None:
        """End all processes."""
        for program in self.programs:
            program.kill()
        for program in self.programs:
            if program.process is not None:
                await program.process.wait()
        self._record.close()


def run_case(play: Callable[[Case], Awaitable[bool]], record: Path, limit_s: float) -> None:
    """Play a case and exit: 0 if the rule held, 1 if it was broken, 2 if it couldn't run.

    Args:
        play: Plays the case; returns whether the rule held.
        record: File for what was sent, answered and run.
        limit_s: Seconds after which the run is given up.
    """

    async def main() -> int:
        with tempfile.TemporaryDirectory(prefix="figwalk-case-") as folder:
            case = Case(Path(folder), record)
            try:
                held = await asyncio.wait_for(play(case), limit_s)
            except Exception:
                case.say("the case couldn't run:\n" + traceback.format_exc())
                for program in case.programs:
                    if program.log.exists():
                        case.note(f"{program.name}: {program.log.read_text()[-2000:]}")
                return NOT_RUN
            else:
                case.say("the rule held" if held else "the rule was broken")
                return HELD if held else BROKEN
            finally:
                await case.end()

    code = asyncio.run(main())
    sys.stdout.flush()
    os._exit(code)
