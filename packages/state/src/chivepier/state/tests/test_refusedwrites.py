"""Tests of disks that refuse writes for a time."""

import asyncio
import errno
import random

import pytest

from chivepier.messages import AppendRequest
from chivepier.messages import SnapshotRequest
from chivepier.messages import VoteRequest
from chivepier.state import DiskStorage
from chivepier.state import LostLeadError
from chivepier.state.snapshot import Snapshot
from chivepier.state.storagefailederror import StorageFailedError
from chivepier.state.testing.histories import make_change
from chivepier.state.testing.poweredfolder import PoweredFolder
from chivepier.state.testing.refusingdisk import RefusingDisk
from chivepier.state.testing.rig import Rig
from chivepier.state.tests.test_diskstorage import entries
from chivepier.state.tests.test_diskstorage import write
from chivepier.state.tests.test_safeguards import beat
from chivepier.state.tests.test_safeguards import holds

# More calls than any one write makes.
MOST_CALLS = 12
ERRORS = (errno.ENOSPC, errno.EIO, errno.EDQUOT, errno.EROFS, errno.EFBIG)
# The longest time until there is a leader again: a pause of the recovery, the
# longest election timeout, and some rounds.
RETURN_SECONDS = 3.0


def look(folder) -> tuple:
    """Start a voter, and return what it answers for."""
    storage = DiskStorage(folder, used=True)
    storage.close()
    return describe(storage)


def describe(storage) -> tuple:
    """Return all that a voter answers for."""
    return (
        storage.term,
        storage.vote,
        storage.snapshot,
        tuple(storage.entries),
    )


async def save_vote(storage) -> None:
    """Keep a vote."""
    await storage.save_vote(4, "b")


async def append(storage) -> None:
    """Add entries, a large one too."""
    await write(storage, entries(2, 6, 9))


async def overwrite(storage) -> None:
    """Replace the last entries, as a new leader does."""
    storage.truncate(4)
    await write(storage, entries(3, 4, 4))


async def save_snapshot(storage) -> None:
    """Keep a snapshot, and a log without what it covers."""
    await storage.save_snapshot(Snapshot(4, 2, b"state"))


WORKS = (save_vote, append, overwrite, save_snapshot)


async def prepare(folder) -> DiskStorage:
    """Make a storage with some entries."""
    storage = DiskStorage(folder)
    await storage.save_vote(3, "a")
    await write(storage, entries(1, 1, 2), entries(2, 3, 5))
    return storage


async def renew(storage, disk: RefusingDisk) -> None:
    """Fail to go on while the disk refuses, and go on after it."""
    with pytest.raises(OSError):
        await storage.renew()
    disk.accept()
    await storage.renew()


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("torn", (False, True), ids=("whole", "torn"))
@pytest.mark.parametrize("accepted", range(MOST_CALLS))
@pytest.mark.parametrize("work", WORKS, ids=lambda work: work.__name__)
def test_storage_goes_on_from_the_disk_after_a_refused_write(
    tmp_path, work, accepted, torn, seed
):
    # Guards against a log that goes on behind a torn record, and against
    # entries or votes that memory has and a loss of power takes.
    async def play():
        rng, path = random.Random(seed), tmp_path / "data"
        with PoweredFolder(path, tmp_path / "shadow") as folder:
            with RefusingDisk(path) as disk:
                storage = await prepare(path)
                before = describe(storage)
                error = rng.choice(ERRORS)
                disk.refuse(error, accepted, torn)
                try:
                    await work(storage)
                except OSError:
                    await renew(storage, disk)
                    assert is_between(before, describe(storage))
                disk.accept()
                await storage.save_vote(5, "c")
                last = storage.last_index
                await write(storage, entries(5, last + 1, last + 1))
                expected = describe(storage)
                storage.close()
            assert look(path) == expected
            folder.lose_power(rng)
            assert look(path) == expected

    asyncio.run(play())


def is_between(before: tuple, after: tuple) -> bool:
    """Tell whether nothing that was synced is lost, but to an overwrite."""
    committed = before[3][:3]
    held = after[3]
    if after[2].index:
        held = before[3][: after[2].index] + held
    return after[0] >= before[0] and held[:3] == committed


@pytest.mark.parametrize("accepted", range(MOST_CALLS))
def test_process_that_ends_after_a_refused_write_starts_whole(
    tmp_path, accepted
):
    # Guards against a start that takes the pages of a failed sync for
    # written, and answers for what the next loss of power takes.
    async def play():
        path = tmp_path / "data"
        with PoweredFolder(path, tmp_path / "shadow") as folder:
            with RefusingDisk(path) as disk:
                storage = await prepare(path)
                disk.refuse(errno.EIO, accepted)
                try:
                    await append(storage)
                except OSError:
                    pass
                storage.close()
                disk.accept()
                before = look(path)
            folder.lose_power(random.Random(accepted))
            assert look(path) == before

    asyncio.run(play())


@pytest.mark.parametrize("accepted", range(MOST_CALLS))
def test_voter_starts_on_a_disk_that_refuses(tmp_path, accepted):
    # Guards against a process that ends at each start while its disk is full.
    async def play():
        path = tmp_path / "data"
        path.mkdir()
        with RefusingDisk(path) as disk:
            storage = await prepare(path)
            before = describe(storage)
            storage.close()
            disk.refuse(errno.ENOSPC, accepted)
            again = DiskStorage(path, used=True)
            assert describe(again) == before
            if again.refusal is not None:
                await renew(again, disk)
            assert again.refusal is None
            disk.accept()
            await append(again)
            assert look(path) == describe(again)

    asyncio.run(play())


async def check_return(rig: Rig, name: str) -> None:
    """Check that a change is accepted soon, and that all have it."""
    began = rig.clock.monotonic()
    leader = await rig.await_leader()
    assert rig.clock.monotonic() - began <= RETURN_SECONDS
    answer = await rig.propose(make_change(name))
    assert not answer.error
    replicas = rig.replicas.values()
    await rig.wait(
        lambda: all(r.machine.index >= answer.index for r in replicas)
    )
    assert leader.error is None


@pytest.mark.parametrize("size", (3, 4, 5))
@pytest.mark.parametrize("leads", (True, False))
def test_disks_that_refuse_one_after_the_other_end_no_lead_for_good(
    size, leads
):
    # Guards against a voter that takes no part any more after a refused
    # write: with two of them, no change and no read is answered to the end.
    async def play_it():
        async with Rig(size) as rig:
            for number in range(size):
                leader = await rig.await_leader()
                others = [r for r in rig.replicas.values() if r is not leader]
                chosen = leader if leads else others[number % len(others)]
                storage = rig.storages[chosen.node]
                storage.fails = True
                proposed = leader.propose(make_change(f"a{number}"))
                if leads:
                    with pytest.raises(LostLeadError):
                        await rig.finish(proposed)
                else:
                    assert not (await rig.finish(proposed)).error
                await rig.wait(lambda: chosen.refusal is not None)
                assert not chosen.leads()
                await rig.step(3.5)
                storage.fails = False
                await rig.wait(lambda: chosen.refusal is None, 1.0)
            await check_return(rig, "last")

    asyncio.run(play_it())


@pytest.mark.parametrize("count", (2, 3))
@pytest.mark.parametrize("seed", range(4))
def test_disks_that_refuse_at_once_end_no_lead_for_good(count, seed):
    # Guards against the same where a quorum refuses in the same moment.
    async def play_it():
        async with Rig(3, seed) as rig:
            leader = await rig.await_leader()
            await rig.propose(make_change("kept"))
            names = rig.rng.sample(sorted(rig.replicas), count)
            for name in names:
                rig.storages[name].fails = True
            task = asyncio.ensure_future(leader.propose(make_change("torn")))
            await rig.step(3.5)
            for name in names:
                rig.storages[name].fails = False
            await check_return(rig, "last")
            for replica in rig.replicas.values():
                assert ("team", "kept") in replica.machine.documents
            await asyncio.wait([task])

    asyncio.run(play_it())


def test_voter_whose_disk_refuses_answers_for_nothing_and_knows_the_leader():
    # Guards against votes and appends that memory alone holds.
    async def play_it():
        async with Rig(3) as rig:
            leader = await rig.await_leader()
            rig.storages[leader.node].fails = True
            with pytest.raises(LostLeadError):
                await rig.finish(leader.propose(make_change("c1")))
            assert isinstance(leader.refusal, OSError)
            assert leader.error is None and not leader.leads()
            with pytest.raises(StorageFailedError, match="no space left"):
                await leader.handle_append(beat("c", leader.node))
            await rig.propose(make_change("c2"))
            assert rig.find_leader() is not leader
            assert leader.leader == rig.find_leader().node
            assert ("team", "c2") not in leader.machine.documents
            rig.storages[leader.node].fails = False
            await rig.wait(
                lambda: ("team", "c2") in leader.machine.documents, 1.0
            )
            assert ("team", "c1") not in leader.machine.documents

    asyncio.run(play_it())


# The longest time until another leads: a round for each of two ballots, and
# some pauses between two attempts.
HAND_OVER_SECONDS = 1.5


@pytest.mark.parametrize("size", (3, 4, 5))
@pytest.mark.parametrize("seed", range(10))
def test_leader_whose_disk_refuses_hands_over_before_its_lease_ends(
    size, seed
):
    # Guards against seconds without a leader although all could elect one.
    async def play_it():
        async with Rig(size, seed) as rig:
            leader = await rig.await_leader()
            rig.storages[leader.node].fails = True
            with pytest.raises(LostLeadError):
                await rig.finish(leader.propose(make_change("c1")))
            began = rig.clock.monotonic()
            other = await rig.await_leader()
            assert other is not leader
            assert rig.clock.monotonic() - began <= HAND_OVER_SECONDS

    asyncio.run(play_it())


def test_late_resignation_frees_nobody_from_a_later_leader():
    # Guards against two leases: a word that was held back on a link must not
    # end what a voter owes to the leader of a later term.
    async def play_it():
        async with Rig(3) as rig:
            old = await rig.await_leader()
            term = old.storage.term
            rig.isolate(old.node)
            await rig.wait(lambda: rig.find_leader() not in (None, old), 10.0)
            new = await rig.await_leader()
            follower = next(
                r for r in rig.replicas.values() if r not in (old, new)
            )
            quiet = follower._core.quiet()
            resignation = AppendRequest(
                term, old.node, 0, 0, (), 0, "c", follower.node, False, True
            )
            await rig.finish(follower.handle_append(resignation))
            assert follower._core.quiet() <= quiet + 0.5
            assert follower.leader == new.node

    asyncio.run(play_it())


def refuse_threads(storage) -> None:
    """Let the next write end as if no thread could be started for it."""
    sync = storage.sync

    async def refuse():
        storage.sync = sync
        raise RuntimeError("can't start new thread")

    storage.sync = refuse


@pytest.mark.parametrize("leads", (True, False))
def test_write_that_ends_with_any_error_is_answered_for_by_nobody(leads):
    # Guards against a change that is committed on one disk alone, as memory is
    # ahead of the disk after any error.
    async def play_it():
        async with Rig(3) as rig:
            leader = await rig.await_leader()
            near, far = (r for r in rig.replicas.values() if r is not leader)
            rig.isolate(far.node)
            failing = leader if leads else near
            refuse_threads(rig.storages[failing.node])
            change = asyncio.ensure_future(leader.propose(make_change("c")))
            await rig.wait(change.done, 5.0)
            if change.exception() is None:
                index = change.result().index
                holders = [d for d in rig.disks.values() if holds(d, index)]
                assert len(holders) >= 2, "committed on one disk"
            rig.network.cut.clear()
            await check_return(rig, "last")
            assert failing.error is None

    asyncio.run(play_it())


class Failing:
    """Links that fail once with an error that nobody has foreseen."""

    def __init__(self, links, kind):
        self._links, self._kind, self.failed = links, kind, False

    async def request(self, peer: str, value, timeout: float):
        """Ask a peer, but for the first message of a kind."""
        if isinstance(value, self._kind) and not self.failed:
            self.failed = True
            raise RuntimeError("can't start new thread")
        return await self._links.request(peer, value, timeout)


@pytest.mark.parametrize("kind", (AppendRequest, VoteRequest))
def test_message_that_fails_with_any_error_stops_no_voter_for_good(kind):
    # Guards against a voter that takes no part any more for a thread that
    # could not be started once, to find a peer's address.
    async def play_it():
        async with Rig(3) as rig:
            links = []
            for replica in rig.replicas.values():
                core = replica._core
                core.transport = Failing(core.transport, kind)
                links.append(core.transport)
            await rig.wait(lambda: any(link.failed for link in links))
            await rig.step(3.0)
            assert not [r.error for r in rig.replicas.values() if r.error]
            await check_return(rig, "last")

    asyncio.run(play_it())


async def leave_torn_tail(path) -> None:
    """Leave a part of a record, as a crash does."""
    with open(path / "log", "ab") as stream:
        stream.write(b"torn")


async def leave_snapshot_alone(path) -> None:
    """Leave a snapshot whose log wasn't written after it."""
    log = (path / "log").read_bytes()
    storage = DiskStorage(path, used=True)
    await storage.save_snapshot(Snapshot(4, 2, b"state"))
    storage.close()
    (path / "log").write_bytes(log)


async def leave_whole(path) -> None:
    """Leave what a calm end does."""


LEFT = (leave_torn_tail, leave_snapshot_alone, leave_whole)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("accepted", range(MOST_CALLS))
@pytest.mark.parametrize("leave", LEFT, ids=lambda leave: leave.__name__)
def test_power_lost_in_mid_start_loses_nothing(
    tmp_path, leave, accepted, seed
):
    # Guards against a start that writes its folder anew and leaves less than
    # there was when it ends half way.
    async def play():
        rng, path = random.Random(seed), tmp_path / "data"
        with PoweredFolder(path, tmp_path / "shadow") as folder:
            storage = await prepare(path)
            storage.close()
            await leave(path)
            expected = look(path)
            await leave(path)
            with RefusingDisk(path) as disk:
                disk.refuse(errno.EIO, accepted, torn=bool(seed % 2))
                DiskStorage(path, used=True).close()
            folder.lose_power(rng)
            assert look(path) == expected

    asyncio.run(play())


def test_install_whose_waiter_is_cancelled_is_applied():
    # Guards against a voter that applies nothing any more: its snapshot is
    # ahead of its machine, and its log begins after it.
    async def play_it():
        async with Rig(3) as rig:
            leader = await rig.await_leader()
            behind = next(r for r in rig.replicas.values() if r is not leader)
            rig.isolate(behind.node)
            for number in range(40):
                await rig.propose(make_change(f"c{number}"))
            await rig.wait(lambda: leader.storage.snapshot.index > 20)
            snapshot = leader.storage.snapshot
            request = SnapshotRequest(
                leader.storage.term,
                leader.node,
                snapshot.index,
                snapshot.term,
                0,
                snapshot.data,
                True,
                "c",
                behind.node,
            )
            task = asyncio.ensure_future(behind.handle_snapshot(request))
            await rig.wait(lambda: behind._core.writing_since is not None)
            task.cancel()
            await rig.wait(task.done)
            rig.network.cut.clear()
            await check_return(rig, "last")

    asyncio.run(play_it())
