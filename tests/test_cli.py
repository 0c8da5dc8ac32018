import json
import queue
import threading
from types import SimpleNamespace
from urllib.parse import parse_qs

import pytest
import trio
from typer.testing import CliRunner

from figwalk.cli.main import app
from figwalk.events import EventLog
from figwalk.timer import Timer
from figwalk.transport import HttpServer, render_error

TOKEN = "operator-token"
BACKEND = {
    "name": "llm-1",
    "service": "llm",
    "zone": "rajkot-a",
    "region": "saurashtra",
    "state": "serving",
    "role": "mixed",
    "running": 1,
    "queued": 0,
    "queue_wait_ms": 12.5,
    "report_age_ms": None,
    "revision": 3,
}
EVENT = {
    "process": "entry-1",
    "sequence": 1,
    "clock": 5 << 16,
    "wall_ms": 5,
    "number": 300,
    "name": "REQUEST_RECEIVED",
    "request_id": "r 1",
    "fields": {"detail": "a\x1b[31mb\tc"},
}


class FakeAdmin:
    """Operator API with compare-and-set by path.

    Before each publication, another operator changes the path `conflicting_path`, if it is set.
    """

    def __init__(self):
        self.entries = {}
        self.revision = 0
        self.conflicting_path = ""
        self.answer = None
        self.lose_answer = False
        self.publications = []

    def put(self, path, value):
        """Change a path as another operator would."""
        self.revision += 1
        self.entries[path] = {"path": path, "value": value, "revision": self.revision}

    async def handle(self, request, responder):
        """Answer a call of the operator API."""
        if request.header(b"authorization") != f"Bearer {TOKEN}":
            await responder.send_json(401, render_error("auth", "unauthorized", "no"))
        elif self.answer:
            await responder.send_json(*self.answer)
        elif request.path == "/admin/v1/config":
            content = {"revision": self.revision, "entries": list(self.entries.values())}
            await responder.send_json(200, content)
        elif request.path == "/admin/v1/publish":
            await self.publish(json.loads(request.body), responder)
        elif request.path == "/admin/v1/status":
            content = {"process": "entry-1", "revision": self.revision, "backends": [BACKEND]}
            await responder.send_json(200, {**content, "later_addition": 1})
        elif parse_qs(request.query) == {"request_id": ["r 1"]}:
            await responder.send_json(200, {"events": [EVENT]})
        else:
            await responder.send_json(200, {"events": []})

    async def publish(self, content, responder):
        """Apply the changes if all of them are based on the current revisions of their paths."""
        if self.conflicting_path:
            self.put(self.conflicting_path, {"mode": "withdraw"})
        for change in content["changes"]:
            current = self.entries.get(change["path"], {"revision": 0})["revision"]
            if change["base"] != current:
                body = render_error("c", "conflict", "lost", path=change["path"], revision=current)
                await responder.send_json(409, body)
                return
        self.publications.append(content)
        for change in content["changes"]:
            self.put(change["path"], change["value"])
        if not self.lose_answer:
            await responder.send_json(200, {"revision": self.revision})


@pytest.fixture
def admin():
    fake = FakeAdmin()
    started = queue.Queue()

    async def serve():
        server = HttpServer(fake.handle, EventLog("fake", Timer()))
        async with trio.open_nursery() as nursery:
            port = await nursery.start(server.serve, "127.0.0.1", 0)
            started.put((port, trio.lowlevel.current_trio_token(), nursery.cancel_scope))
            await trio.sleep_forever()

    thread = threading.Thread(target=trio.run, args=(serve,))
    thread.start()
    port, trio_token, scope = started.get()
    fake.url = f"http://127.0.0.1:{port}"
    yield fake
    trio_token.run_sync_soon(scope.cancel)
    thread.join()


@pytest.fixture
def run(admin):
    def run(*arguments, token=TOKEN, url=admin.url):
        env = {"FIGWALK_ADMIN": url, "FIGWALK_TOKEN": token, "FIGWALK_AUTHOR": "test"}
        result = CliRunner().invoke(app, arguments, env=env)
        assert result.exception is None or isinstance(result.exception, SystemExit)
        content = json.loads(result.stdout) if "--json" in arguments else None
        return SimpleNamespace(
            code=result.exit_code, out=result.stdout, err=result.stderr, json=content
        )

    return run


def test_publishing_a_file_sends_only_changed_paths(run, admin, tmp_path):
    """Guards against conflicts on paths whose value a publication does not change."""
    file = tmp_path / "p.yaml"
    file.write_text("kind: published\npresets: {peak: {}, ordinary: {}}\npreset_in_force: peak\n")
    assert run("publish", str(file)).out.startswith("revision 3: presets/peak")
    file.write_text(file.read_text().replace("force: peak", "force: ordinary"))
    assert run("publish", str(file), "--json").json == {"revision": 4, "paths": ["preset_in_force"]}
    assert run("publish", str(file)).out == "nothing to change at revision 4\n"
    last = admin.publications[-1]
    assert last["author"] == "test"
    assert last["changes"] == [{"path": "preset_in_force", "value": "ordinary", "base": 3}]


def test_concurrent_publication_is_a_conflict(run, admin):
    """Guards against a command that overwrites the publication of another operator."""
    admin.conflicting_path = "withdrawn/llm-1"
    result = run("drain", "llm-1", "--json")
    assert result.code == 1
    assert result.json["error"]["type"] == "PublishConflictError"
    assert (result.json["error"]["path"], result.json["error"]["revision"]) == (
        admin.conflicting_path,
        1,
    )
    assert "read revision 1" in result.json["error"]["remedy"]
    assert admin.publications == []


def test_backend_is_drained_withdrawn_and_restored(run, admin):
    """Guards against a restored backend server that can't be drained again."""
    for command, value in [
        ("drain", {"mode": "drain"}),
        ("withdraw", {"mode": "withdraw"}),
        ("restore", None),
        ("drain", {"mode": "drain"}),
    ]:
        assert run(command, "llm-1").code == 0
        assert admin.entries["withdrawn/llm-1"]["value"] == value


def test_unknown_names_are_not_published(run, admin):
    """Guards against a mistyped name that is published and has no effect."""
    admin.put("presets/peak", {})
    for command in (["drain", "llm-l"], ["preset", "use", "peek"]):
        result = run(*command)
        assert result.code == 2
        assert "remedy: did you mean" in result.err
    assert admin.publications == []
    assert run("drain", "llm-9", "--unlisted").code == 0


def test_presets_are_listed_and_used(run, admin):
    admin.put("presets/peak", {"role_change_weight": 0.5, "description": "busy"})
    admin.put("presets/gone", None)
    assert run("preset", "use", "peak").code == 0
    assert run("preset", "list").out.splitlines()[1:] == ["yes\tpeak\t0.5\t1\tbusy"]
    assert run("preset", "list", "--json").json["preset_in_force"] == "peak"


def test_status_and_timeline_are_readable_by_scripts(run):
    """Guards against wrapped tables in pipes, and control characters from request fields."""
    status = run("status").out
    assert "llm-1\tllm\trajkot-a\tsaurashtra\tserving\tmixed\t1\t0\t12.5\t-\t3" in status
    assert run("status", "--json").json["backends"] == [BACKEND]
    timeline = run("timeline", "r 1").out
    assert timeline.splitlines()[1] == "+0\tentry-1\t300\tREQUEST_RECEIVED\tdetail=a [31mb c"
    assert run("timeline", "r 1", "--json").json == {"events": [EVENT]}
    assert run("timeline", "other").code == 1


@pytest.mark.parametrize(
    ("answer", "code", "text"),
    [
        ((422, {"error": {"code": "invalid", "faults": ["limits: bad"]}}), 2, "limits: bad"),
        (
            (503, render_error("e", "log_unavailable", "the log is down")),
            1,
            "nothing was published",
        ),
        ((503, render_error("e", "publication_unknown", "no answer")), 1, "run the command again"),
        ((500, ["?"]), 1, "HTTP status 500"),
        ((200, {"revision": "x"}), 1, "use the figwalk version that the entry runs"),
    ],
)
def test_refusals_are_typed_errors(run, admin, answer, code, text):
    """Guards against tracebacks, and exit code 0 for a publication that did not happen."""
    admin.answer = answer
    result = run("preset", "list")
    assert result.code == code
    assert text in result.err


def test_lost_answer_is_not_reported_as_unpublished(run, admin):
    """Guards against reporting that nothing was published when the change is in effect."""
    admin.lose_answer = True
    result = run("withdraw", "llm-1")
    assert result.code == 1
    assert "run the command again" in result.err
    admin.lose_answer = False
    assert run("withdraw", "llm-1").out == "nothing to change at revision 1\n"


def test_access_errors_include_a_remedy(run):
    assert "FIGWALK_TOKEN" in run("status", token="wrong").err
    assert run("status", token="wrong").code == 1
    closed = run("status", url="http://127.0.0.1:1")
    assert closed.code == 1
    assert "check --admin" in closed.err
    assert run("status", url="127.0.0.1:8090").code == 2
    assert run("status", url="").code == 2


def test_settings_check_reports_all_files(run, tmp_path):
    """Guards against a check that stops at the first bad file or exits with 0."""
    (tmp_path / "good.yaml").write_text("kind: published\n")
    (tmp_path / "bad.yaml").write_text("kind: published\nlimits: {key_memory_ms: 1}\n")
    files = [str(tmp_path / name) for name in ("bad.yaml", "good.yaml", "none.yaml")]
    result = run("settings", "check", *files, "--json")
    assert result.code == 2
    assert [len(entry["faults"]) for entry in result.json["files"]] == [1, 0, 1]
    assert "give seconds under 'key_memory_s'" in run("settings", "check", *files).out
    assert run("settings", "check", files[1]).code == 0
