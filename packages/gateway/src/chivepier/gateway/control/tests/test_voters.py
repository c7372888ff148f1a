"""Tests of voters on loopback: founding, losses, restarts, replacement."""

import pytest

from chivepier.gateway.control.bootstrap import IDENTITY_FILE
from chivepier.gateway.control.tests.fleet import play
from chivepier.gateway.control.tests.fleet import wait_until
from chivepier.gateway.targets import TargetState
from chivepier.gateway.targets.tests.test_targettable import make


def test_seeds_found_one_cluster_without_an_order(tmp_path):
    async def test(fleet):
        await fleet.write(5, "a")
        clusters = {v.replica.cluster for v in fleet.voters.values()}
        assert len(clusters) == 1
        for address in fleet.seeds:
            assert await fleet.read(address) == b"5 a"

    play(test, tmp_path)


def test_highest_version_counts_and_older_ones_change_nothing(tmp_path):
    # An operator's order that was overtaken, or sent again after its
    # acknowledgement was lost, is acknowledged; what is in force stays.
    async def test(fleet):
        await fleet.write(5, "first")
        await fleet.write(9, "new")
        await fleet.write(5, "first")
        await fleet.write(9, "other content under the same version")
        await fleet.write(7, "late")
        for address in fleet.seeds:
            assert await fleet.read(address) == b"9 new"

    play(test, tmp_path)


def test_minority_takes_nothing_and_tells_nothing(tmp_path):
    async def test(fleet):
        await fleet.write(1)
        for address in fleet.seeds[1:]:
            await fleet.stop(address)
        store = fleet.voters[fleet.seeds[0]].store
        assert not await store.write(2, b"2 ")
        while await store.read() is not None:
            # its lease as the leader may last for a moment more
            pass
        assert await store.read() is None

    play(test, tmp_path)


def test_what_was_acknowledged_outlives_a_restart_of_all(tmp_path):
    async def test(fleet):
        await fleet.write(3, "kept")
        for address in fleet.seeds:
            await fleet.stop(address)
        for address in fleet.seeds:
            # the flag of the first start may still be set
            await fleet.start(address, found=True)
        for address in fleet.seeds:
            assert await fleet.read(address) == b"3 kept"

    play(test, tmp_path)


def test_restarted_voter_tells_what_was_committed_without_a_leader(tmp_path):
    # After a kill of all, callers were refused until a leader was elected.
    async def test(fleet):
        await fleet.write(3, "kept")
        first = fleet.voters[fleet.seeds[0]]
        # a follower learns with the next heartbeat that it is committed
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
def test_damaged_note_of_what_is_known_is_left_alone(tmp_path, damage):
    async def test(fleet):
        await fleet.write(3, "kept")
        address = fleet.seeds[0]
        await fleet.stop(address)
        (fleet.find_folder(address) / "known").write_bytes(damage)
        await fleet.start(address)
        assert await fleet.read(address) == b"3 kept"

    play(test, tmp_path)


def test_wiped_voter_comes_back_with_a_new_identity_and_a_vote(tmp_path):
    # With its old name, a voter that lost its disk could vote twice in a term.
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


def test_machine_at_a_new_address_replaces_one_that_is_gone(tmp_path):
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


def test_crash_before_the_identity_is_kept_does_not_end_the_voter(tmp_path):
    # The process ended at each start: its folder had an identity but no
    # log, which counts as a log that was lost. The log is made first.
    async def test(fleet):
        await fleet.write(3)
        address = fleet.make_address()
        await fleet.start(address)
        await fleet.stop(address)
        (fleet.find_folder(address) / IDENTITY_FILE).unlink()
        fresh = await fleet.start(address)
        await wait_until(fresh.replica.votes)

    play(test, tmp_path)
