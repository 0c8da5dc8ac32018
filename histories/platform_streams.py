"""Streams of the platform soak: all attempts of a caller that belong together."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Sequence

import attrs

from histories.platform_call import EVENT_END, PlatformCall
from standins.platform_backend import expected_event

UNKNOWN_VERSION = "?"


@attrs.frozen
class Stream:
    """A stream that a caller asked for.

    Attributes:
        attempts: The first attempt and those that took the stream up, as they were sent.
    """

    attempts: tuple[PlatformCall, ...]

    def find_version(self, versions: Sequence[str]) -> str:
        """Return the software version that began the stream, `UNKNOWN_VERSION` if none fits."""
        first = self.attempts[0]
        for version in versions:
            if first.body.startswith(expected_event(first.prompt, 1, version)):
                return version
        return UNKNOWN_VERSION

    def find_fault(self, versions: Sequence[str]) -> str:
        """Return what is wrong with the bytes of all attempts together, empty if nothing is.

        Args:
            versions: Software versions that may have begun the stream.
        """
        answers = [call for call in self.attempts if call.status == 200]
        for version in versions:
            if all(_is_continued(call, version) for call in answers):
                return ""
        described = [_describe(call, versions) for call in answers]
        return f"a stream of {self.attempts[0].events} events: {'; '.join(described)}"


def group_streams(calls: Iterable[PlatformCall]) -> list[Stream]:
    """Return the streams that calls belong to."""
    groups: defaultdict[str, list[PlatformCall]] = defaultdict(list)
    for call in calls:
        if call.kind.is_stream:
            groups[call.resumes or call.call_id].append(call)
    return [
        Stream(tuple(sorted(group, key=lambda call: call.sent_at))) for group in groups.values()
    ]


def _is_continued(call: PlatformCall, version: str) -> bool:
    """Return whether an answer has the events of a version after those of earlier attempts."""
    numbers = range(call.after + 1, call.events + 1)
    expected = b"".join(expected_event(call.prompt, number, version) for number in numbers)
    return call.body == expected if call.whole else expected.startswith(call.body)


def _describe(call: PlatformCall, versions: Sequence[str]) -> str:
    """Return the numbers and versions of the events of an answer, for a message."""
    known = {
        expected_event(call.prompt, number, version): (number, version)
        for version in versions
        for number in range(1, call.events + 1)
    }
    parts: list[tuple[int, int, str]] = []
    for text in call.body.split(EVENT_END)[:-1]:
        number, version = known.get(text + EVENT_END, (0, UNKNOWN_VERSION))
        if parts and parts[-1][1:] == (number - 1, version):
            number_before = parts.pop()[0]
            parts.append((number_before, number, version))
        else:
            parts.append((number, number, version))
    events = ", ".join(f"{first}-{last} of {version}" for first, last, version in parts)
    end = " as complete" if call.whole else ""
    return f"{call.call_id} at {call.gateway} after {call.after}: {events or 'no event'}{end}"
