"""Tests of published configuration with real processes: conflicts, log outages, late starts."""

import json

import trio

from figwalk.cli.errors import AdminAnswerLostError, AdminError
from figwalk.errors import PublishConflictError
from figwalk.protocol.records import CONFIG_STREAM, Change
from tests.support.forwarder import Direction, Forwarder
from tests.support.small_fleet import run_fleet_test, streaming, until

PATH = "organisations/depots"
ROUNDS = 5


async def fetch_config(fleet, entry="entry-1"):
    """Return the configuration that an entry has in force."""
    client = fleet.admin(entry)
    try:
        return await client.fetch_config()
    finally:
        client.close()


async def publish_share(fleet, entry, share, base):
    """Publish a share based on a revision; return the new revision or the error."""
    client = fleet.admin(entry)
    try:
        return await client.publish([Change(PATH, {"share": share}, base)], author=entry)
    except (AdminError, PublishConflictError) as error:
        return error
    finally:
        client.close()


class RevisionMonitor:
    """Records the revisions that processes report; fails if a process reverts to an older one."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._newest = {}

    async def fetch_status(self, entry):
        """Fetch the status of an entry and check the revisions in it."""
        status = await self._fleet.status(entry)
        self._check_revision(entry, status.revision)
        for backend in status.backends:
            self._check_revision((entry, backend.name), backend.revision or 0)
        return status

    async def wait_until_reported(self, revision):
        """Wait until every entry and every agent reports a revision or a newer one."""
        for entry in self._fleet.entries:
            await until(lambda entry=entry: self._has_revision(entry, revision))

    async def _has_revision(self, entry, revision):
        status = await self.fetch_status(entry)
        agents = {b.name for b in status.backends if (b.revision or 0) >= revision}
        return status.revision >= revision and agents >= set(self._fleet.agents)

    def _check_revision(self, process, revision):
        assert revision >= self._newest.get(process, 0), f"{process} reverted to {revision}"
        self._newest[process] = revision


def test_one_of_two_concurrent_publications_is_accepted_and_reaches_all_processes(tmp_path):
    """Guards against two accepted publications with one base, and a process without the result."""

    async def test(fleet):
        await fleet.start(entries=2, engines=1, services=1)
        monitor = RevisionMonitor(fleet)
        base = 0
        for round_index in range(ROUNDS):
            results = {}

            async def publish(entry, share, base=base, results=results):
                results[entry] = await publish_share(fleet, entry, share, base)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(publish, "entry-1", 10 + round_index)
                nursery.start_soon(publish, "entry-2", 20 + round_index)
            accepted = [entry for entry, result in results.items() if isinstance(result, int)]
            assert len(accepted) == 1, results
            (rejected,) = set(results) - set(accepted)
            base = results[accepted[0]]
            assert isinstance(results[rejected], PublishConflictError), results[rejected]
            assert (results[rejected].path, results[rejected].revision) == (PATH, base)
            await monitor.wait_until_reported(base)
            share = (10 if accepted[0] == "entry-1" else 20) + round_index
            for entry in fleet.entries:
                assert (await fetch_config(fleet, entry)).value(PATH) == {"share": share}

    run_fleet_test(tmp_path, test)


def test_error_of_a_publication_without_an_answer_of_the_log_is_correct(tmp_path):
    """Guards against a change in the log reported as not published, and the reverse."""

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
        # The refused publication never took effect, so its base is still current.
        second = await publish_share(fleet, "entry-1", 3, revision)
        assert isinstance(second, int), second
        assert (await fetch_config(fleet)).value(PATH) == {"share": 3}

        async with trio.open_nursery() as nursery:
            forwarder = Forwarder(fleet.log.addresses["http"])
            address = await nursery.start(forwarder.run)
            await fleet.start_entry("entry-2", log=address)
            await fleet.wait_status("entry-2", lambda status: status.revision >= second)
            # The log stores the publication, but no answer and no later read reaches the entry.
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


def test_entry_started_during_a_log_outage_adopts_the_configuration_of_another(tmp_path):
    """Guards against new entries that can't serve in a log outage, or revert when they read it."""

    async def test(fleet):
        await fleet.start(engines=1)
        monitor = RevisionMonitor(fleet)
        revision = await fleet.publish({PATH: {"share": 2}})
        await monitor.wait_until_reported(revision)
        await fleet.set_faults(fleet.log, outage=True)
        await fleet.wait_status("entry-1", lambda status: not status.log_available)
        await fleet.start_entry("entry-2")
        await monitor.wait_until_reported(revision)
        assert (await fetch_config(fleet, "entry-2")).value(PATH) == {"share": 2}
        async with streaming(fleet, 2, 8, "entry-2"):
            pass
        assert not (await monitor.fetch_status("entry-2")).log_available
        # The entry reads the log from the start, but must not revert to the older revisions in it.
        await fleet.set_faults(fleet.log, outage=False)
        await until(lambda: fetch_log_available(monitor, "entry-2"))
        newer = await fleet.publish({PATH: {"share": 5}}, "entry-2")
        await monitor.wait_until_reported(newer)
        for entry in fleet.entries:
            assert (await fetch_config(fleet, entry)).value(PATH) == {"share": 5}
        for handle in (*fleet.entries.values(), *fleet.agents.values()):
            adopted = read_adopted_revisions(handle)
            assert adopted, f"{handle.name} has logged no adopted revision"
            assert adopted == sorted(adopted), f"{handle.name} reverted: {adopted}"

    run_fleet_test(tmp_path, test)


def read_adopted_revisions(handle):
    """Return all revisions that a process logged as adopted, also those that no status showed."""
    records = [json.loads(line) for line in handle.log_path.read_text().splitlines()]
    return [int(r["revision"]) for r in records if r["event"] == "CONFIG_ADOPTED"]


async def fetch_log_available(monitor, entry):
    """Return whether the log is available to an entry; its revision is checked as well."""
    return (await monitor.fetch_status(entry)).log_available


async def read_config_stream(fleet):
    """Return the records of the config stream, read directly from the log."""
    return await fleet.fetch(fleet.log, f"/streams/{CONFIG_STREAM}/records?from=0")


async def has_grown(fleet, head):
    """Return whether the config stream has grown beyond an offset."""
    return (await read_config_stream(fleet))["head"] > head
