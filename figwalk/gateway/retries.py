"""Takes retries of calls from the budgets of their services."""

from __future__ import annotations

from figwalk.coordination.windowed_retry_budget import ServiceRetryBudgets
from figwalk.events import Event, EventLog
from figwalk.gateway.call import Call


def take_retries(
    call: Call, budgets: ServiceRetryBudgets, events: EventLog, *, with_prefill: bool = False
) -> bool:
    """Take what the next attempt of a call needs from the budget of its service.

    Args:
        call: The call.
        budgets: The budgets.
        events: Event log.
        with_prefill: Whether one engine prefills the prompt and another one runs the call.

    Returns:
        Whether the budget allowed the attempt.
    """
    budget = budgets.of_service(call.service)
    count = call.arrivals.retries_needed(with_prefill=with_prefill)
    if count == 0:
        return True
    if not budget.try_retries(count):
        events.record(Event.RETRY_BUDGET_EMPTY, request_id=call.call_id)
        return False
    call.arrivals.charged += count
    events.record(
        Event.REQUEST_RETRIED,
        request_id=call.call_id,
        charged=count,
        budget=budget.left,
    )
    return True
