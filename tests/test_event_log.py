from __future__ import annotations

from figwalk.events import Event, EventLog
from figwalk.timer import Timer


def test_an_event_keeps_the_text_of_a_value_that_changes_later() -> None:
    # Guards against a timeline that shows what a value became after the event.
    log = EventLog("entry-1", Timer())
    backends = ["llm-1"]
    log.record(Event.CALL_SENT, request_id="r", status=200, backends=backends)
    backends.append("llm-2")
    record = log.select("r")[0]
    assert record.fields == {"status": "200", "backends": "['llm-1']"}
    assert (record.number, record.name) == (402, "CALL_SENT")
