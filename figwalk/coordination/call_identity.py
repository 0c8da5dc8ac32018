"""What a call has in common with others that may crash backend servers too."""

from __future__ import annotations

from collections.abc import Sequence
from functools import cached_property
from hashlib import blake2b

import attrs

from figwalk.coordination.crash_evidence import REQUEST_PREFIX

# Bounds the size of a crash report: ids that are longer are replaced by a hash.
MAX_PART_ID_LENGTH = 32


@attrs.frozen
class CallIdentity:
    """What a call has in common with others that may crash backend servers too.

    Attributes:
        part_ids: Ids of the parts of its prompt, in order; the last one is its own. Empty for calls
            without a prompt.
        request: Digest of what the caller asks for, or empty.
    """

    part_ids: Sequence[str] = ()
    request: str = ""

    @cached_property
    def shared_parts(self) -> tuple[str, ...]:
        """Ids of the parts that other prompts may share, each in bounded length."""
        return tuple(
            part
            if len(part) <= MAX_PART_ID_LENGTH
            else blake2b(part.encode(), digest_size=MAX_PART_ID_LENGTH // 2).hexdigest()
            for part in self.part_ids[:-1]
        )

    @property
    def request_id(self) -> str | None:
        """Id of the request among the possible causes of a crash."""
        return REQUEST_PREFIX + self.request if self.request else None

    @cached_property
    def suspects(self) -> tuple[str, ...]:
        """Ids of all that may make the call crash a backend server."""
        request_id = self.request_id
        return self.shared_parts if request_id is None else (*self.shared_parts, request_id)

    @cached_property
    def suspect_set(self) -> frozenset[str]:
        """The same ids, for checks whose time does not grow with the length of the prompt."""
        return frozenset(self.suspects)
