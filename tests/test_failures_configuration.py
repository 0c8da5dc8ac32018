"""Configuration with real processes: accepted once, in effect everywhere, never taken back."""

import json

import trio

from figwalk.cli.errors import AdminAnswerLostError, AdminError
from figwalk.errors import PublishConflictError
from figwalk.protocol.records import CONFIG_STREAM, Change
from tests.support.forwarder import Direction, Forwarder
from tests.support.small_fleet import run_fleet_test, streaming, until

PATH = "organisations/depots"
RACES = 5


async def fetch_config(fleet, entry="entry-1"):
    """Return the configuration of an entry."""
    client = fleet.admin(entry)
    try:
        return await client.fetch_config()
    finally:
        client.close()


async def publish_share(fleet, entry, share, base):
    """Publish a share; return the revision or the error."""
    client = fleet.admin(entry)
    try:
        return await client.publish([Change(PATH, {"share": share}, base)], author=entry)
    except (AdminError, PublishConflictError) as error:
        return error
    finally:
        client.close()


class RevisionWatch:
    """Notes the revisions that processes report, and fails when one steps back."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._newest = {}

    async def look(self, entry):
        """Take in the status of an entry once."""
        status = await self._fleet.status(entry)
        self._note(entry, status.revision)
        for backend in status.backends:
            self._note((entry, backend.name), backend.revision or 0)
        return status

    async def wait(self, revision):
        """Watch until every entry and every agent reports a revision."""
        for entry in self._fleet.entries:
            await until(lambda entry=entry: self._has_revision(entry, revision))

    async def _has_revision(self, entry, revision):
        status = await self.look(entry)
        agents = {b.name for b in status.backends if (b.revision or 0) >= revision}
        return status.revision >= revision and agents >= set(self._fleet.agents)

    def _note(self, process, revision):
        assert revision >= self._newest.get(process, 0), f"{process} stepped back to {revision}"
        self._newest[process] = revision


def test_one_of_two_racing_operators_wins_and_its_value_is_everywhere(tmp_path):
    """Guards against two accepted publications from one base, and a process that lacks the one."""

    async def test(fleet):
        await fleet.start(entries=2, engines=1, services=1)
        watch = RevisionWatch(fleet)
        base = 0
        for race in range(RACES):
            results = {}

            async def publish(entry, share, base=base, results=results):
                results[entry] = await publish_share(fleet, entry, share, base)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(publish, "entry-1", 10 + race)
                nursery.start_soon(publish, "entry-2", 20 + race)
            winners = [entry for entry, result in results.items() if isinstance(result, int)]
            assert len(winners) == 1, results
            (loser,) = set(results) - set(winners)
            base = results[winners[0]]
            assert isinstance(results[loser], PublishConflictError), results[loser]
            assert (results[loser].path, results[loser].revision) == (PATH, base)
            await watch.wait(base)
            share = (10 if winners[0] == "entry-1" else 20) + race
            for entry in fleet.entries:
                assert (await fetch_config(fleet, entry)).value(PATH) == {"share": share}

    run_fleet_test(tmp_path, test)


def test_publication_without_an_answer_of_the_log_is_reported_truthfully(tmp_path):
    """Guards against "nothing was published" for a change that is in the log, and the reverse."""

    async def test(fleet):
        await fleet.start()
        await fleet.set_faults(fleet.log, lose_answers=1)
        revision = await publish_share(fleet, "entry-1", 1, 0)
        assert revision == (await fetch_config(fleet)).base(PATH)

        await fleet.set_faults(fleet.log, outage=True)
        await fleet.wait_status("entry-1", lambda status: not status.log_available)
        refused = await publish_share(fleet, "entry-1", 2, revision)
        assert isinstance(refused, AdminError), refused
        assert not isinstance(refused, AdminAnswerLostError), refused
        await fleet.set_faults(fleet.log, outage=False)
        await fleet.wait_status("entry-1", lambda status: status.log_available)
        # The refused one never took effect, so that its base is still current.
        second = await publish_share(fleet, "entry-1", 3, revision)
        assert isinstance(second, int), second
        assert (await fetch_config(fleet)).value(PATH) == {"share": 3}

        async with trio.open_nursery() as nursery:
            forwarder = Forwarder(fleet.log.addresses["http"])
            address = await nursery.start(forwarder.run)
            await fleet.start_entry("entry-2", log=address)
            await fleet.wait_status("entry-2", lambda status: status.revision >= second)
            # The write takes effect, and no answer nor any later read reaches the entry.
            head = (await read_config_stream(fleet))["head"]
            results = []

            async def publish():
                results.append(await publish_share(fleet, "entry-2", 4, second))

            forwarder.hold(Direction.TO_CLIENT)
            async with trio.open_nursery() as publishing:
                publishing.start_soon(publish)
                await until(lambda: has_grown(fleet, head))
            assert isinstance(results[0], AdminAnswerLostError), results[0]
            await fleet.wait_status("entry-1", lambda status: status.revision > second)
            assert (await fetch_config(fleet)).value(PATH) == {"share": 4}
            nursery.cancel_scope.cancel()

    run_fleet_test(tmp_path, test)


def test_entry_started_without_the_log_serves_with_the_configuration_of_another(tmp_path):
    """Guards against an outage that keeps new entries from serving, and against a step back."""

    async def test(fleet):
        await fleet.start(engines=1)
        watch = RevisionWatch(fleet)
        revision = await fleet.publish({PATH: {"share": 2}})
        await watch.wait(revision)
        await fleet.set_faults(fleet.log, outage=True)
        await fleet.wait_status("entry-1", lambda status: not status.log_available)
        await fleet.start_entry("entry-2")
        await watch.wait(revision)
        assert (await fetch_config(fleet, "entry-2")).value(PATH) == {"share": 2}
        async with streaming(fleet, 2, 8, "entry-2"):
            pass
        assert not (await watch.look("entry-2")).log_available
        # It reads the log from the start and must not go back to the revisions that it passes.
        await fleet.set_faults(fleet.log, outage=False)
        await until(lambda: watch_log(watch, "entry-2"))
        newer = await fleet.publish({PATH: {"share": 5}}, "entry-2")
        await watch.wait(newer)
        for entry in fleet.entries:
            assert (await fetch_config(fleet, entry)).value(PATH) == {"share": 5}
        for handle in (*fleet.entries.values(), *fleet.agents.values()):
            adopted = read_adopted_revisions(handle)
            assert adopted, f"{handle.name} has logged no revision"
            assert adopted == sorted(adopted), f"{handle.name} stepped back: {adopted}"

    run_fleet_test(tmp_path, test)


def read_adopted_revisions(handle):
    """Return all revisions that a process put in force, also those that no status shows."""
    records = [json.loads(line) for line in handle.log_path.read_text().splitlines()]
    return [int(r["revision"]) for r in records if r["event"] == "CONFIG_ADOPTED"]


async def watch_log(watch, entry):
    """Return whether an entry reads the log, watching its revision."""
    return (await watch.look(entry)).log_available


async def read_config_stream(fleet):
    """Return the log's page of the config stream."""
    return await fleet.fetch(fleet.log, f"/streams/{CONFIG_STREAM}/records?from=0")


async def has_grown(fleet, head):
    """Return whether a publication is in the log beyond an offset."""
    return (await read_config_stream(fleet))["head"] > head
