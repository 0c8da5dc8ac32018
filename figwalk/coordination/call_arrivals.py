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

    def record_sent(self, *, is_prefill: bool) -> bool:
        """Count an arrival; return whether it is a repeat, whatever the answer will be.

        A prefill that may be the first accepted one is a repeat only if it is rejected.
        """
        self.sent += 1
        return self.repeats > 0 and not (is_prefill and not self.prefilled)

    def retries_needed(self, *, with_prefill: bool) -> int:
        """Return how many retries the next attempt takes from the budget.

        Args:
            with_prefill: Whether one engine prefills the prompt and another one runs the call.
        """
        arrivals = 2 if with_prefill and self.prefilled else 1
        return max(0, self._counted + arrivals - 1 - self.charged)

    @property
    def _counted(self) -> int:
        return self.sent - (1 if self.prefilled else 0)
