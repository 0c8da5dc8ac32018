# ruff: noqa: D102
import json

import pytest
import trio
from entry_fakes import HOST

from figwalk.entry import admin_api
from figwalk.entry.admin_api import AdminApi
from figwalk.entry.process import EntryProcess
from figwalk.errors import (
    LogAnswerLostError,
    LogUnavailableError,
    PublishConflictError,
    SettingsError,
)
from figwalk.events import EventLog
from figwalk.state.configuration import Configuration
from figwalk.state.settings import Address, EntrySettings, PlatformSettings
from figwalk.timer import Timer
from figwalk.transport import HttpClient, HttpServer

TOKEN = [(b"authorization", b"Bearer secret")]
PUBLICATION = {"author": "op", "changes": [{"path": "limits", "value": {}, "base": 0}]}


class FakePublisher:
    """Accepts a publication or fails with an error."""

    def __init__(self, error):
        self.error = error
        self.published = []

    async def publish(self, changes, *, author):
        if self.error is not None:
            raise self.error
        self.published.append((author, changes))
        return 8


class FakeViews:
    """Renders a fixed status and an empty time line."""

    def render(self):
        return {"revision": 3}

    async def gather(self, request_id):
        self.asked = request_id
        return []


def admin_test(check, error=None):
    async def main():
        with trio.fail_after(20):
            async with trio.open_nursery() as nursery:
                events = EventLog("entry-1", Timer())
                publisher, views = FakePublisher(error), FakeViews()
                api = AdminApi("secret", Configuration(), publisher, views, views, events)
                server = HttpServer(api.handle, events)
                port = await nursery.start(server.serve, HOST, 0)
                await check(HttpClient(HOST, port), publisher, views)
                nursery.cancel_scope.cancel()

    trio.run(main)


@pytest.mark.parametrize(
    "headers",
    [
        [],
        [(b"authorization", b"Bearer")],
        [(b"authorization", b"Bearer secre")],
        [(b"authorization", b"Bearer secret2")],
        [(b"authorization", b"Bearer \xff\xfe")],
        [(b"authorization", b"Basic secret")],
        [(b"authorization", b"secret")],
    ],
)
def test_wrong_token_is_refused(monkeypatch, headers):
    """Guards against an open operator API, and a token that leaks through comparison time."""
    compared = []
    compare = admin_api.hmac.compare_digest

    def record(first, second):
        compared.append(second)
        return compare(first, second)

    monkeypatch.setattr(admin_api.hmac, "compare_digest", record)

    async def check(client, publisher, _views):
        body = json.dumps(PUBLICATION).encode()
        for method, path in (("POST", "/publish"), ("GET", "/status"), ("GET", "/none")):
            response, data = await client.fetch(
                method, f"/admin/v1{path}", headers=headers, body=body
            )
            assert response.status == 401
            assert json.loads(data)["error"]["code"] == "unauthorized"
        assert compared == [b"secret"] * 3
        assert not publisher.published

    admin_test(check)


@pytest.mark.parametrize(
    ("error", "status", "code"),
    [
        (None, 200, None),
        (PublishConflictError("limits", 7), 409, "conflict"),
        (SettingsError(["limits: wrong"]), 422, "invalid_configuration"),
        (LogUnavailableError("down"), 503, "log_unavailable"),
        (LogAnswerLostError("lost"), 503, "publication_unknown"),
    ],
)
def test_publication(error, status, code):
    """Guards against an answer that reports a publication wrongly as refused or as accepted."""

    async def check(client, publisher, _views):
        body = json.dumps(PUBLICATION).encode()
        response, data = await client.fetch("POST", "/admin/v1/publish", headers=TOKEN, body=body)
        answer = json.loads(data)
        assert response.status == status
        assert (response.header(b"retry-after") != "") is (status == 503)
        if code is None:
            assert answer == {"revision": 8}
            assert publisher.published[0][0] == "op"
            return
        assert {"type", "code", "message"} <= set(answer["error"])
        assert answer["error"]["code"] == code
        if code == "conflict":
            assert (answer["error"]["path"], answer["error"]["revision"]) == ("limits", 7)

    admin_test(check, error)


CHANGE = PUBLICATION["changes"][0]


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"\xff",
        b"[" * 100_000,
        b"[]",
        PUBLICATION | {"author": 1},
        PUBLICATION | {"changes": []},
        PUBLICATION | {"changes": [None]},
        PUBLICATION | {"changes": {"path": 1}},
        PUBLICATION | {"changes": [CHANGE] * 1001},
        PUBLICATION | {"changes": [CHANGE | {"path": 5}]},
        PUBLICATION | {"changes": [CHANGE | {"base": True}]},
        PUBLICATION | {"changes": [{"path": "limits"}]},
    ],
)
def test_malformed_publication_is_a_400(body):
    """Guards against publishing the valid part of a malformed publication."""

    async def check(client, publisher, _views):
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        response, answer = await client.fetch("POST", "/admin/v1/publish", headers=TOKEN, body=data)
        assert (response.status, json.loads(answer)["error"]["code"]) == (
            400,
            "invalid_publication",
        )
        assert not publisher.published

    admin_test(check)


def test_views_and_unknown_paths():
    """Guards against a path outside the operator API that reaches a handler."""

    async def check(client, _publisher, views):
        async def get(path):
            response, data = await client.fetch("GET", path, headers=TOKEN)
            return response.status, json.loads(data)

        assert await get("/admin/v1/status") == (200, {"revision": 3})
        assert await get("/admin/v1/timeline?request_id=r%201") == (200, {"events": []})
        assert views.asked == "r 1"
        assert (await get("/admin/v1/config"))[1] == {"revision": 0, "entries": []}
        for path in ("/status", "/admin/v1", "/admin/v1/publish", "/admin/v2/status"):
            assert (await get(path))[0] == 404

    admin_test(check)


@pytest.mark.parametrize("token", ["", "secret"])
def test_admin_port_is_closed_without_a_token(capsys, token):
    """Guards against an operator API that is open to anybody because no token is configured."""
    free, closed = Address(HOST, 0), Address(HOST, 1)
    platform = PlatformSettings(closed, closed)
    settings = EntrySettings("entry-1", "z", "r", free, free, free, platform, admin_token=token)

    async def main():
        with trio.fail_after(20):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(EntryProcess(settings).run)
                output = ""
                while "listening callers" not in output:
                    await trio.lowlevel.checkpoint()
                    output += capsys.readouterr().out
                assert ("listening admin" in output) is bool(token)
                nursery.cancel_scope.cancel()

    trio.run(main)
