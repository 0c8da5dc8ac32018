"""Which shared parts of prompts an engine keeps, as its agent tells gateways."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import attrs

from figwalk.coordination.prefix_memory import hash_chain


@attrs.frozen
class SubjectChanges:
    """What changed of the kept subjects; see `hash_chain`.

    Attributes:
        kept: Subjects that the engine has begun to keep.
        yielded: Subjects that it no longer keeps.
    """

    kept: tuple[int, ...] = ()
    yielded: tuple[int, ...] = ()


class KeptSubjects:
    """Subjects, the shared parts of prompts, that an engine keeps, and their changes.

    Answers for subjects that each gateway sees too seldom to know where they are kept: with some
    sixty of them and five gateways at ten prompts a second, each sees the same one every 30 s.
    """

    def __init__(self) -> None:
        self._subjects: set[int] = set()
        self._kept: set[int] = set()
        self._yielded: set[int] = set()

    @property
    def all(self) -> tuple[int, ...]:
        """All kept subjects."""
        return tuple(self._subjects)

    @property
    def changed(self) -> bool:
        """Whether there are changes that were not taken."""
        return bool(self._kept or self._yielded)

    def note_read(self, parts: Sequence[tuple[str, int]], yielded: Iterable[Sequence[str]]) -> None:
        """Note that a prompt is read, and which chains of parts yielded to it."""
        for chain in yielded:
            self._drop(hash_chain(chain))
        if len(parts) > 1:
            self._add(hash_chain([part_id for part_id, _ in parts[:-1]]))

    def clear(self) -> None:
        """Note that the engine keeps nothing any more."""
        for subject in self.all:
            self._drop(subject)

    def take_changes(self) -> SubjectChanges:
        """Return the changes since the last time."""
        changes = SubjectChanges(tuple(self._kept), tuple(self._yielded))
        self._kept.clear()
        self._yielded.clear()
        return changes

    def _add(self, subject: int) -> None:
        if subject not in self._subjects:
            self._subjects.add(subject)
            self._kept.add(subject)
            self._yielded.discard(subject)

    def _drop(self, subject: int) -> None:
        if subject in self._subjects:
            self._subjects.discard(subject)
            self._kept.discard(subject)
            self._yielded.add(subject)
