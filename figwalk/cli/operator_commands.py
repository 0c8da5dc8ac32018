"""Operations of the commands on the operator API, independent of options and output."""

from __future__ import annotations

import difflib
from pathlib import Path
from typing import Any

import attrs

from figwalk.cli.admin_client import AdminClient
from figwalk.cli.errors import UsageError
from figwalk.protocol.records import Change
from figwalk.state.published import PRESET_IN_FORCE_PATH, PRESETS_PREFIX, WITHDRAWN_PREFIX
from figwalk.state.published_values import PublishedValue, Withdrawal, WithdrawalMode
from figwalk.state.settings_file import load_published


@attrs.frozen
class Publication:
    """What a publication changed, and its revision.

    Attributes:
        revision: Revision of the changes, or the current one if there was nothing to change.
        paths: Paths that were changed; empty if all values were already in effect.
    """

    revision: int
    paths: list[str]

    @property
    def summary(self) -> str:
        """One line for operators."""
        if not self.paths:
            return f"nothing to change at revision {self.revision}"
        return f"revision {self.revision}: {', '.join(self.paths)}"


async def publish_values(
    client: AdminClient, values: dict[str, Any], *, author: str
) -> Publication:
    """Publish JSON values by path, leaving out those that are already in effect."""
    config = await client.fetch_config()
    changes = [
        Change(path, value, config.base(path))
        for path, value in values.items()
        if config.value(path) != value
    ]
    if not changes:
        return Publication(config.revision, [])
    revision = await client.publish(changes, author=author)
    return Publication(revision, [change.path for change in changes])


async def publish_file(client: AdminClient, path: Path, *, author: str) -> Publication:
    """Publish a file of kind `published`; paths that are not in the file remain unchanged."""
    published = load_published(path)
    values = {value.path: value.json_value for value in published.values}
    return await publish_values(client, values, author=author)


async def use_preset(client: AdminClient, name: str, *, author: str) -> Publication:
    """Put a published preset in force.

    Raises:
        UsageError: There is no such preset.
    """
    config = await client.fetch_config()
    if config.value(PRESETS_PREFIX + name) is None:
        known = [
            entry.path.removeprefix(PRESETS_PREFIX)
            for entry in config.entries
            if entry.path.startswith(PRESETS_PREFIX) and entry.value is not None
        ]
        raise UsageError(f"there is no preset {name!r}", remedy=_suggest(name, known))
    return await publish_values(client, {PRESET_IN_FORCE_PATH: name}, author=author)


async def set_withdrawal(
    client: AdminClient,
    backend: str,
    mode: WithdrawalMode | None,
    *,
    author: str,
    unlisted: bool = False,
) -> Publication:
    """Take a backend server out of service, or back into service if the mode is None.

    Args:
        client: Client of the operator API.
        backend: Name of the backend server.
        mode: How it is taken out of service.
        author: Recorded as the author of the publication.
        unlisted: Whether to accept a name that the entry does not know.

    Raises:
        UsageError: The entry does not know the backend server, and `unlisted` is not set.
    """
    path = WITHDRAWN_PREFIX + backend
    if not unlisted and (await client.fetch_config()).value(path) is None:
        known = [view.name for view in (await client.fetch_status()).backends]
        if backend not in known:
            remedy = f"{_suggest(backend, known)}, or give --unlisted if it is not up yet"
            raise UsageError(f"there is no backend server {backend!r}", remedy=remedy)
    value = PublishedValue(path, Withdrawal(mode) if mode else None)
    return await publish_values(client, {path: value.json_value}, author=author)


def _suggest(name: str, known: list[str]) -> str:
    nearest = difflib.get_close_matches(name, known, n=1)
    if nearest:
        return f"did you mean {nearest[0]!r}"
    return f"use one of {', '.join(sorted(known)) or '(none)'}"
