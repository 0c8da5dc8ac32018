from __future__ import annotations

from figwalk.events import Event, EventLog
from figwalk.timer import Timer


def test_event_keeps_field_value_as_of_its_recording() -> None:
    # Guards against a timeline that shows a later state of a mutable field value.
    log = EventLog("entry-1", Timer())
    backends = ["llm-1"]
    log.record(Event.CALL_SENT, request_id="r", status=200, backends=backends)
    backends.append("llm-2")
    record = log.select("r")[0]
    assert record.fields == {"status": "200", "backends": "['llm-1']"}
    assert (record.number, record.name) == (402, "CALL_SENT")
