"""Tests of voters: bootstrap, loss of nodes, restarts and replacement."""

import pytest

from chivepier.gateway.control.bootstrap import IDENTITY_FILE
from chivepier.gateway.control.tests.fleet import play
from chivepier.gateway.control.tests.fleet import wait_until
from chivepier.gateway.messages import ConfigAnswer
from chivepier.gateway.messages import WriteAnswer
from chivepier.gateway.messages import WriteRequest
from chivepier.gateway.targets import TargetState
from chivepier.gateway.targets.tests.test_targettable import make


def test_seeds_bootstrap_one_cluster_independently(tmp_path):
    async def test(fleet):
        await fleet.write(5, "a")
        clusters = {v.replica.cluster for v in fleet.voters.values()}
        assert len(clusters) == 1
        for address in fleet.seeds:
            assert await fleet.read(address) == b"5 a"

    play(test, tmp_path)


def test_older_versions_do_not_replace_the_highest(tmp_path):
    # A write with an older version, or a retry after a lost acknowledgement,
    # is acknowledged without changing the stored configuration.
    async def test(fleet):
        await fleet.write(5, "first")
        await fleet.write(9, "new")
        await fleet.write(5, "first")
        await fleet.write(9, "other content under the same version")
        await fleet.write(7, "late")
        for address in fleet.seeds:
            assert await fleet.read(address) == b"9 new"

    play(test, tmp_path)


def test_minority_rejects_writes_and_confirmed_reads(tmp_path):
    async def test(fleet):
        await fleet.write(1)
        for address in fleet.seeds[1:]:
            await fleet.stop(address)
        store = fleet.voters[fleet.seeds[0]].store
        assert not await store.write(2, b"2 ")
        while await store.read() is not None:
            # its leader lease may not have expired yet
            pass
        assert await store.read() is None

    play(test, tmp_path)


def test_acknowledged_write_survives_restart_of_all_voters(tmp_path):
    async def test(fleet):
        await fleet.write(3, "kept")
        for address in fleet.seeds:
            await fleet.stop(address)
        for address in fleet.seeds:
            # the flag of the first start must have no effect later
            await fleet.start(address, found=True)
        for address in fleet.seeds:
            assert await fleet.read(address) == b"3 kept"

    play(test, tmp_path)


def test_restarted_voter_serves_committed_state_without_leader(tmp_path):
    # Guards against rejecting callers after a restart of all processes until
    # a leader is elected.
    async def test(fleet):
        await fleet.write(3, "kept")
        first = fleet.voters[fleet.seeds[0]]
        # a follower learns of the commit with the next heartbeat
        await wait_until(lambda: first.store.find_committed() is not None)
        first.registry.announce(make("i1", heard=0.0))
        known = fleet.find_folder(fleet.seeds[0]) / "known"
        await wait_until(
            lambda: known.exists() and b"i1" in known.read_bytes()
        )
        for address in fleet.seeds:
            await fleet.stop(address)
        alone = await fleet.start(fleet.seeds[0])
        assert alone.store.find_committed().body == b"3 kept"
        assert alone.table.get("i1").state is TargetState.READY
        follower = await fleet.follow("e1")
        await wait_until(lambda: follower.state.index is not None)
        assert follower.state.index.version == 3

    play(test, tmp_path)


@pytest.mark.parametrize("damage", [b"", b"\x00" * 40, b"\xff\xff"])
def test_damaged_state_cache_is_ignored(tmp_path, damage):
    async def test(fleet):
        await fleet.write(3, "kept")
        address = fleet.seeds[0]
        await fleet.stop(address)
        (fleet.find_folder(address) / "known").write_bytes(damage)
        await fleet.start(address)
        assert await fleet.read(address) == b"3 kept"

    play(test, tmp_path)


def test_wiped_voter_gets_new_identity_and_vote(tmp_path):
    # With its old identity, a voter that lost its disk could vote twice in one
    # term.
    async def test(fleet):
        await fleet.write(3, "kept")
        address = fleet.seeds[0]
        before = fleet.voters[address].replica.node
        await fleet.stop(address)
        await fleet.wipe(address)
        fresh = await fleet.start(address)
        assert fresh.replica.node != before
        await wait_until(fresh.replica.votes)
        leader = fleet.find_leader()
        names = {v.node for v in (leader or fresh).replica.voters}
        assert before not in names and len(names) == 3
        assert await fleet.read(address) == b"3 kept"

    play(test, tmp_path)


@pytest.mark.parametrize("size, lost", ((3, 1), (5, 2)))
def test_disks_lost_as_all_others_lose_power_cost_no_write(
    tmp_path, size, lost
):
    # Guards against the loss of an acknowledged configuration when no voter
    # runs through the loss of disks.
    async def test(fleet):
        await fleet.write(3, "kept")
        for address in fleet.seeds:
            await fleet.stop(address)
        for address in fleet.seeds[:lost]:
            await fleet.wipe(address)
        for address in fleet.seeds:
            await fleet.start(address)
        for address in fleet.seeds:
            assert await fleet.read(address) == b"3 kept"
        await wait_until(lambda: fleet.find_leader() is not None)
        for address in fleet.seeds:
            await wait_until(fleet.voters[address].replica.votes)

    play(test, tmp_path, size)


def test_voter_at_new_address_replaces_lost_voter(tmp_path):
    async def test(fleet):
        await fleet.write(3, "kept")
        gone = fleet.seeds[0]
        await fleet.stop(gone)
        address = fleet.make_address()
        fresh = await fleet.start(address)
        await wait_until(fresh.replica.votes)

        def is_replaced() -> bool:
            voters = {v.address for v in fresh.replica.voters}
            return address in voters and gone not in voters

        await wait_until(is_replaced)
        await fleet.write(4, "after")
        assert await fleet.read(address) == b"4 after"

    play(test, tmp_path)


def test_voter_starts_after_crash_before_saving_identity(tmp_path):
    # Guards against a voter that can't start after such a crash: an identity
    # without a log counts as a lost log, so the log is created first.
    async def test(fleet):
        await fleet.write(3)
        address = fleet.make_address()
        await fleet.start(address)
        await fleet.stop(address)
        (fleet.find_folder(address) / IDENTITY_FILE).unlink()
        fresh = await fleet.start(address)
        await wait_until(fresh.replica.votes)

    play(test, tmp_path)


def test_voter_that_does_not_lead_any_more_answers_that_it_is_unsure(
    tmp_path,
):
    # Guards against an error in place of the answer that makes callers retry.
    async def test(fleet):
        await fleet.write(1)
        store = fleet.voters[fleet.seeds[0]].store

        async def refuse(request, seconds, handle):
            if isinstance(request, WriteRequest):
                return WriteAnswer(False, "does not lead")
            return ConfigAnswer(False, 0, b"")

        store._leader.request = refuse
        assert not await store.write(2, b"2 ")
        assert await store.read() is None

    play(test, tmp_path)
