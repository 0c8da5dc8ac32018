"""A part near the start of long prompts crashes engines."""

from __future__ import annotations

import os
import random
from pathlib import Path

from rig.case import Case, run_case
from rig.deadly import DEADLY_PART, FIRST_PART, play_deadly_part

# Parts of a prompt beside the last one. For comparison, a shorter prompt can be played.
SHARED_PARTS = int(os.environ.get("PARTS", "40"))
SUBJECTS = 40
POOL = 200
LATER_TOKENS = 80


def make_parts(rng: random.Random, kind: str) -> list[str]:
    """Return the first part, that of a subject or the deadly one, and parts of a conversation."""
    second = DEADLY_PART if kind == "deadly" else f"{rng.randrange(SUBJECTS):08x}"
    later = [f"{0xC000 + number:08x}" for number in rng.sample(range(POOL), SHARED_PARTS - 2)]
    return [f"{FIRST_PART}:2520", f"{second}:700", *(f"{part}:{LATER_TOKENS}" for part in later)]


async def play(case: Case) -> bool:
    """Play the case; return whether the rules held."""
    return await play_deadly_part(case, make_parts, silent=False)


if __name__ == "__main__":
    run_case(play, Path(__file__).with_name("record.txt"), limit_s=110.0)
