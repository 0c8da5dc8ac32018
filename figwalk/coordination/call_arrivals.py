"""Counts how often one call reaches backend servers, and how many of these times are repeats."""

from __future__ import annotations

import attrs


@attrs.define
class CallArrivals:
    """Times that a call, or the prefill of its prompt, was sent to a backend server.

    The first of them is no repeat, and neither is the first prefill that an engine accepts.

    Attributes:
        sent: Times so far, rejected ones included.
        prefilled: Whether an engine has accepted a prefill.
        charged: Retries that were taken from the budget for the call.
    """

    sent: int = 0
    prefilled: bool = False
    charged: int = 0

    @property
    def repeats(self) -> int:
        """Times beyond the first."""
        return max(0, self._counted - 1)

    @property
    def _counted(self) -> int:
        return self.sent - self.prefilled
