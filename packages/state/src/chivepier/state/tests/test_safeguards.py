"""Each safeguard of the replicated log, switched off.

The random histories and the checker are worth something only if they find
the fault that a missing safeguard lets in.  Each switch is in this file.
"""

import asyncio
import random

import pytest

from chivepier.messages import AppendRequest
from chivepier.messages import Entry
from chivepier.state import DamagedError
from chivepier.state import Replica
from chivepier.state.replication import BATCH_BYTES
from chivepier.state.replication import Replication
from chivepier.state.tenure import Tenure
from chivepier.state.testing.histories import draw_history
from chivepier.state.testing.histories import make_change
from chivepier.state.testing.histories import play
from chivepier.state.testing.memorydisk import MemoryDisk
from chivepier.state.testing.rig import Rig
from chivepier.state.timing import Timing

SEEDS = 40


class Unsynced(Replica):
    """Acknowledges entries before they are synced."""

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        core = self._core

        async def append(entries):
            core.storage.append(entries)
            core.sets.add(entries)

        core.append = append


class Forgetful(Replica):
    """Votes without syncing the vote."""

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        core = self._core

        async def save_vote(term, vote):
            core.storage.term, core.storage.vote = term, vote

        core.save_vote = save_vote


class Faithless(Replica):
    """Votes while a leader counts on its silence."""

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self._core.quiet = lambda: float("inf")


@pytest.mark.parametrize(
    "careless, broken",
    [
        (Unsynced, "committed"),
        (Forgetful, "two leaders"),
    ],
)
def test_random_failures_find_a_missing_safeguard(careless, broken):
    with pytest.raises((AssertionError, DamagedError), match=broken):
        for seed in range(SEEDS):
            rng = random.Random(seed)
            history = draw_history(rng)
            asyncio.run(play(seed, history, replica_type=careless))


async def collect_nothing(term: int, pre: bool) -> bool:
    """Keep a voter from standing."""
    return False


async def elect_by_a_far_voter(replica_type: type[Replica]) -> None:
    """Cut the link between a leader and one of two voters."""
    async with Rig(3, replica_type=replica_type) as rig:
        leader = await rig.await_leader()
        far = next(r for r in rig.replicas.values() if r != leader)
        rig.unlink(leader.node, far.node)
        await rig.step(6.0)
        assert rig.find_leader() is leader


def test_voter_that_hears_a_leader_elects_no_other():
    """One of two voters no longer hears the leader, the other one does.

    The far one stands.  Had it the near one's vote, it would lead while the
    leader still counts on the near one's silence.
    """
    asyncio.run(elect_by_a_far_voter(Replica))
    with pytest.raises(AssertionError, match="two leader leases"):
        asyncio.run(elect_by_a_far_voter(Faithless))


async def elect_over_a_lease(careless: bool) -> None:
    """Let a leader be heard in the middle of another's pre-vote."""
    async with Rig(3, timing=Timing(spread=0.5, request=0.2)) as rig:
        leader = await rig.await_leader()
        first, second = (r for r in rig.replicas.values() if r != leader)
        gate = asyncio.Event()
        collect = first._elections._collect

        async def collect_late(term, pre):
            if pre:
                await gate.wait()
                return True
            return await collect(term, pre)

        first._elections._collect = collect_late
        second._elections._collect = collect_nothing
        rig.unlink(leader.node, first.node)
        rig.unlink(leader.node, second.node)
        await rig.wait(lambda: not leader.leads())
        await rig.step(0.6)
        if careless:
            first._core.quiet = lambda: float("inf")
        rig.network.cut -= {
            (leader.node, first.node),
            (first.node, leader.node),
        }
        await rig.wait(leader.leads)
        rig.isolate(leader.node)
        gate.set()
        await rig.step(2.0)


def test_candidate_that_heard_a_leader_does_not_stand():
    """A cut leader comes back to one voter in the middle of its pre-vote.

    The leader counts its lease from that voter's answer.  A voter that then
    still stood for the next term, and won with the third one's vote, would
    lead while the lease of the first was valid.
    """
    asyncio.run(elect_over_a_lease(careless=False))
    with pytest.raises(AssertionError, match="two leader leases"):
        asyncio.run(elect_over_a_lease(careless=True))


async def elect_by_a_fast_clock(margin: float) -> None:
    """Cut a leader with a slow clock off from voters with fast ones."""
    timing = Timing(heartbeat=0.02, spread=0.0, clock_rate_margin=margin)
    async with Rig(3, timing=timing, rates=(0.8, 1.2, 1.2)) as rig:
        one, two = rig.replicas["v1"], rig.replicas["v2"]
        collect = one._elections._collect
        one._elections._collect = collect_nothing
        two._elections._collect = collect_nothing
        await rig.wait(rig.replicas["v0"].leads)
        one._elections._collect = collect
        rig.isolate("v0")
        await rig.step(2.0)


def test_lease_is_shorter_by_the_difference_of_clock_rates():
    """A leader's clock runs 20% slow, the voters' clocks 20% fast.

    Cut off, it counts on its lease for longer than the voters wait before
    they elect another.
    """
    asyncio.run(elect_by_a_fast_clock(margin=0.35))
    with pytest.raises(AssertionError, match="two leader leases"):
        asyncio.run(elect_by_a_fast_clock(margin=0.0))


async def elect_the_whole_log(careless: bool) -> None:
    """Start a voter with the whole log and one with a later term."""
    async with Rig(3) as rig:
        for name in list(rig.replicas):
            rig.crash(name)
        (first,) = rig.disks["v0"].entries
        rest = tuple(Entry(5, i, b"") for i in (2, 3))
        rig.disks["v0"] = MemoryDisk(term=5, entries=(first, *rest))
        rig.disks["v1"] = MemoryDisk(term=9, entries=(first,))
        voter = await rig.start("v0")
        await rig.start("v1")
        if careless:

            async def ignore(term):
                """Learn no term from a refusal."""

            voter._core.adopt_term = ignore
        await rig.wait(lambda: rig.find_leader() is not None, 20)


def test_voter_with_the_whole_log_and_a_low_term_is_elected():
    """Of three voters one is dead; one has a later term but lacks entries.

    It can't win, and the other one's pre-votes are refused for their term:
    unless that one learns the term from the refusal, nobody ever leads.
    """
    asyncio.run(elect_the_whole_log(careless=False))
    with pytest.raises(TimeoutError):
        asyncio.run(elect_the_whole_log(careless=True))


def test_entries_of_an_earlier_term_are_not_committed_by_counting():
    """A majority holds an entry of term 1, the leader's own term is 2.

    A voter with a longer log of another term could still win and overwrite
    it, so it counts only with an entry of term 2 behind it.
    """

    async def play_it():
        async with Rig(3) as rig:
            leader = await rig.await_leader()
            core, commit = leader._core, leader.commit
            tenure = Tenure(core)
            tenure.term += 1
            core.tenure, old = tenure, core.tenure
            tenure.synced = commit + 1
            core.storage.append((Entry(old.term, commit + 1, b""),))
            tenure.note_match("v1", commit + 1)
            tenure.note_match("v2", commit + 1)
            assert leader.commit == commit
            core.storage.append((Entry(tenure.term, commit + 2, b""),))
            tenure.synced = commit + 2
            for name in ("v0", "v1", "v2"):
                tenure.note_match(name, commit + 2)
            assert leader.commit == commit + 2
            core.tenure = None
            old.end()

    asyncio.run(play_it())


def test_follower_commits_no_further_than_the_leader_has_shown():
    """A follower holds entries of a dead leader behind the common part.

    The leader's commit index is beyond that part; taken as it is, the dead
    entries would be applied here and others elsewhere.
    """

    async def play_it():
        async with Rig(3) as rig:
            rig.crash("v0")
            (first,) = rig.disks["v0"].entries
            dead = tuple(Entry(1, i, b"") for i in (2, 3, 4))
            rig.disks["v0"] = MemoryDisk(term=1, entries=(first, *dead))
            replica = await rig.start("v0")
            request = AppendRequest(9, "v1", 2, 1, (), 4, "c", "v0")
            await rig.finish(replica.handle_append(request))
            assert replica.commit == 2

    asyncio.run(play_it())


def test_new_leader_has_no_lease_before_a_majority_answered_it():
    async def play_it():
        async with Rig(3) as rig:
            leader = await rig.await_leader()
            assert leader.leads()
            fresh = Tenure(leader._core)
            assert not fresh.holds_lease()
            fresh.acked["v9"] = rig.clock.monotonic()
            assert not fresh.holds_lease()

    asyncio.run(play_it())


def test_tasks_of_a_lost_lead_send_nothing_in_the_next_term():
    """A leader learns of a later term while its peers' tasks are waiting.

    Their requests took the term of the moment, so that a follower saw a
    second leader in a term which somebody else may have won.
    """

    async def play_it():
        async with Rig(3) as rig:
            leader = await rig.await_leader()
            tenure = leader._core.tenure
            sent = []
            carry = rig.network.carry

            async def record(me, peer, value, timeout):
                if me == leader.node and hasattr(value, "leader"):
                    sent.append(value.term)
                return await carry(me, peer, value, timeout)

            rig.network.carry = record
            task = asyncio.create_task(leader._core.adopt_term(99))
            await rig.wait(task.done)
            tenure.grown.set()
            await rig.step(0.5)
            assert leader.storage.term == 99
            assert set(sent) <= {tenure.term}

    asyncio.run(play_it())


def beat(cluster: str, voter: str) -> AppendRequest:
    """Make a heartbeat of a later leader."""
    return AppendRequest(99, "v9", 0, 0, (), 0, cluster, voter)


def test_message_for_another_identity_is_refused():
    """An instance lost its folder and is back at its old address.

    If it answered what is meant for its old identity it would count twice.
    """

    async def play_it():
        async with Rig(1) as rig:
            replica = rig.replicas["v0"]
            with pytest.raises(ValueError, match="another voter"):
                await replica.handle_append(beat("c", "old"))
            with pytest.raises(ValueError, match="another cluster"):
                await replica.handle_append(beat("d", "v0"))

    asyncio.run(play_it())


def test_batch_never_outgrows_a_frame():
    """Large entries in one request made a frame that every peer refuses."""

    async def play_it():
        async with Rig(1) as rig:
            leader = await rig.await_leader()
            core = leader._core
            start = core.storage.last_index
            big = bytes(BATCH_BYTES // 2 + 1)
            entries = [Entry(1, start + i, big) for i in (1, 2, 3)]
            core.storage.append(tuple(entries))
            core.tenure.synced = start + 3
            replication = Replication(core, core.tenure, core.voters[0])
            assert len(replication._choose(start)) == 1
            del core.storage.entries[-3:]
            core.tenure.synced = start

    asyncio.run(play_it())


def test_oversize_command_is_refused_before_the_log():
    async def play_it():
        async with Rig(1) as rig:
            leader = await rig.await_leader()
            with pytest.raises(ValueError, match="bytes"):
                await leader.propose(bytes(5 << 20))

    asyncio.run(play_it())


class Unrenewed(Replica):
    """Goes on from memory after a refused write."""

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        storage = self._core.storage
        renew = storage.renew

        async def renew_nothing():
            held = storage.entries, storage.term, storage.vote
            await renew()
            storage.entries, storage.term, storage.vote = held

        storage.renew = renew_nothing


async def commit_after_a_refusal(replica_type: type[Replica]) -> None:
    """Let one of two followers refuse what needs its disk to be committed."""
    for seed in range(SEEDS // 4):
        async with Rig(3, seed, replica_type=replica_type) as rig:
            leader = await rig.await_leader()
            near, far = (n for n in rig.replicas if n != leader.node)
            rig.isolate(far)
            rig.storages[near].fails = True
            change = asyncio.ensure_future(leader.propose(make_change("c")))
            await rig.wait(lambda: rig.replicas[near].refusal is not None)
            rig.storages[near].fails = False
            index = (await rig.finish(change)).index
            holders = [d for d in rig.disks.values() if holds(d, index)]
            assert len(holders) >= 2, "committed on one disk"


def holds(disk: MemoryDisk, index: int) -> bool:
    """Tell whether a disk holds an entry."""
    return any(entry.index == index for entry in disk.entries)


def test_voter_that_goes_on_from_memory_answers_for_what_was_refused():
    # Guards against a change that is committed on too few disks.
    asyncio.run(commit_after_a_refusal(Replica))
    with pytest.raises(AssertionError, match="on one disk"):
        asyncio.run(commit_after_a_refusal(Unrenewed))
