"""What a call has in common with others that may crash backend servers too."""

from __future__ import annotations

from collections.abc import Sequence
from hashlib import blake2b

import attrs

from figwalk.coordination.crash_evidence import REQUEST_PREFIX

# Bound the size of a crash report: ids that are longer are replaced by a hash.
MAX_PART_ID_LENGTH = 32
MAX_PARTS_OF_PROMPT = 32


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

    @property
    def shared_parts(self) -> list[str]:
        """Ids of the parts that other prompts may share, in bounded length."""
        return [
            part
            if len(part) <= MAX_PART_ID_LENGTH
            else blake2b(part.encode(), digest_size=MAX_PART_ID_LENGTH // 2).hexdigest()
            for part in self.part_ids[:-1][-MAX_PARTS_OF_PROMPT:]
        ]

    @property
    def request_id(self) -> str | None:
        """Id of the request among the possible causes of a crash."""
        return REQUEST_PREFIX + self.request if self.request else None

    @property
    def suspects(self) -> list[str]:
        """Ids of all that may make the call crash a backend server."""
        request_id = self.request_id
        return self.shared_parts + ([request_id] if request_id is not None else [])
