from pathlib import Path

from figwalk.events import Event, render_catalogue

PAGE = Path(__file__).parent.parent / "docs" / "events.md"


def test_event_catalogue_is_current():
    """Guards against events that are missing from the page; `make docs` regenerates it."""
    assert PAGE.read_text() == f"# Log events\n\n{render_catalogue()}\n"


def test_event_numbers_are_unique():
    """Guards against two events that alerts can't tell apart."""
    assert len({event.number for event in Event}) == len(Event)
