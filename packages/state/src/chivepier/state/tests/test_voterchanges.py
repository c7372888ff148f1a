"""Changing voters, and what snapshots and restarts keep."""

import asyncio

import pytest

from chivepier.messages import decode
from chivepier.messages import encode
from chivepier.messages import Voter
from chivepier.messages import VotersCommand
from chivepier.state.busyleadererror import BusyLeaderError
from chivepier.state.notleadererror import NotLeaderError
from chivepier.state.storagefailederror import StorageFailedError
from chivepier.state.testing.histories import make_change
from chivepier.state.testing.rig import Rig
from chivepier.types import RequestError

# An eighth of what the smallest instance with a disk has in memory.
MAX_HELD_BYTES = 32 << 20


def test_second_voter_lost_right_after_the_repair_loses_nothing():
    """A disk is lost, replaced, and at "repaired" another one is lost.

    The new voter holds everything by then, so that the two that are left
    elect a leader that has the accepted change.
    """

    async def play():
        async with Rig(3) as rig:
            await rig.propose(make_change("c1"))
            rig.crash("v2")
            rig.wipe("v2")
            await rig.start("w1")
            leader = await rig.await_leader()
            await rig.finish(leader.changes.add(Voter("w1", "w1")))
            assert not leader.changes.repaired()
            await rig.finish(leader.changes.remove("v2"))
            await rig.wait(leader.changes.repaired)
            rig.crash(leader.node)
            rig.wipe(leader.node)
            await rig.propose(make_change("c2"))
            for replica in rig.replicas.values():
                assert ("team", "c1") in replica.machine.documents

    asyncio.run(play())


def test_one_change_of_voters_at_a_time():
    async def play():
        async with Rig(3) as rig:
            leader = await rig.await_leader()
            slow = asyncio.create_task(leader.changes.add(Voter("x", "x")))
            await rig.step(0.5)
            with pytest.raises(RequestError, match="under way"):
                await leader.changes.remove("v1")
            assert not slow.done()
            slow.cancel()

    asyncio.run(play())


def test_change_of_voters_waits_for_a_leader_that_has_just_begun():
    # It was refused, as if another change were under way.
    async def play():
        async with Rig(3) as rig:
            leader = await rig.await_leader()
            others = [n for n in rig.disks if n != leader.node]
            rig.crash(leader.node)
            begun = [r for r in rig.replicas.values() if r is not leader]
            await rig.wait(lambda: any(r._core.tenure for r in begun))
            (new,) = (r for r in begun if r._core.tenure)
            assert not new._core.tenure.settled()
            await rig.finish(new.changes.remove(leader.node))
            assert {v.node for v in new.voters} == set(others)

    asyncio.run(play())


def test_learner_has_no_vote_before_it_holds_everything():
    """A new voter that never answers is never counted."""

    async def play():
        async with Rig(3) as rig:
            leader = await rig.await_leader()
            adding = asyncio.create_task(leader.changes.add(Voter("x", "x")))
            await rig.step(3.0)
            assert len(leader.voters) == 3
            adding.cancel()
            await rig.propose(make_change("c1"))

    asyncio.run(play())


def test_removal_that_leaves_no_majority_is_refused():
    async def play():
        async with Rig(3) as rig:
            leader = await rig.await_leader()
            one, two = (n for n in rig.disks if n != leader.node)
            rig.crash(one)
            await rig.step(1.2)
            with pytest.raises(RequestError, match="1 of 2"):
                await leader.changes.remove(two)

    asyncio.run(play())


def test_leader_steps_down_once_its_own_removal_is_committed():
    async def play():
        async with Rig(3) as rig:
            leader = await rig.await_leader()
            await rig.finish(leader.changes.remove(leader.node))
            await rig.wait(lambda: not leader.leads())
            await rig.wait(lambda: rig.find_leader() is not None)
            assert rig.find_leader() is not leader
            assert leader.node not in {
                v.node for v in rig.find_leader().voters
            }

    asyncio.run(play())


def test_voters_are_not_changed_by_a_plain_command():
    async def play():
        async with Rig(3) as rig:
            leader = await rig.await_leader()
            command = encode(VotersCommand((Voter("v0", "v0"),)))
            with pytest.raises(ValueError, match="plain command"):
                await leader.propose(command)

    asyncio.run(play())


def test_forced_recovery_keeps_what_the_survivor_holds():
    async def play():
        async with Rig(3) as rig:
            await rig.propose(make_change("c1"))
            await rig.step(1.0)
            for name in ("v1", "v2"):
                rig.crash(name)
                rig.wipe(name)
            survivor = rig.replicas["v0"]
            await rig.step(4.0)
            renamed = []

            async def rename(name):
                renamed.append(name)

            await rig.finish(
                survivor.changes.force(
                    "v0", "d", frozenset({"v1", "v2"}), rename
                )
            )
            assert renamed == ["d"]
            await rig.propose(make_change("c2"))
            assert ("team", "c1") in survivor.machine.documents
            assert survivor.voters == (Voter("v0", "v0"),)

    asyncio.run(play())


def test_forced_recovery_is_refused_while_the_disk_refuses():
    # Guards against a voter of another cluster's name that is alone with its
    # old voters, and against one that is told of what memory alone holds.
    async def play():
        async with Rig(3) as rig:
            await rig.propose(make_change("c1"))
            survivor = rig.replicas["v0"]
            rig.storages["v0"].fails = True
            asyncio.ensure_future(
                (await rig.await_leader()).propose(make_change("c2"))
            )
            await rig.wait(lambda: survivor.refusal is not None)
            for name in ("v1", "v2"):
                rig.crash(name)
                rig.wipe(name)
            await rig.step(4.0)
            renamed = []

            async def rename(name):
                renamed.append(name)

            gone = frozenset({"v1", "v2"})
            with pytest.raises(StorageFailedError, match="no space left"):
                await rig.finish(
                    survivor.changes.force("v0", "d", gone, rename)
                )
            assert survivor.cluster == "c" and not renamed
            rig.storages["v0"].fails = False
            await rig.wait(lambda: survivor.refusal is None)
            await rig.finish(survivor.changes.force("v0", "d", gone, rename))
            await rig.propose(make_change("c3"))
            assert ("team", "c1") in survivor.machine.documents

    asyncio.run(play())


def test_forced_recovery_is_refused_while_a_leader_is_heard():
    async def play():
        async with Rig(3) as rig:
            leader = await rig.await_leader()
            for replica in rig.replicas.values():
                with pytest.raises(RequestError, match="leader is there"):
                    await replica.changes.force("", "d", frozenset(), None)
            assert leader.leads()

    asyncio.run(play())


def test_resend_gets_the_first_answer_after_snapshot_and_restart():
    """A change, then enough others for a snapshot, then all voters die.

    The change is sent again: run anew it would meet its own version.
    """

    async def play():
        async with Rig(3) as rig:
            first = await rig.propose(make_change("c0"))
            for number in range(1, 40):
                await rig.propose(make_change(f"c{number}"))
            for name in list(rig.replicas):
                assert rig.disks[name].snapshot.index > first.index
                rig.crash(name)
            for name in list(rig.disks):
                await rig.start(name)
            assert await rig.propose(make_change("c0")) == first

    asyncio.run(play())


def test_conflict_names_the_winner():
    async def play():
        async with Rig(1) as rig:
            won = await rig.propose(make_change("c1"))
            command = make_change("c1", base=0)
            late = decode(command)
            late = encode(type(late)("late", "bob", late.edits))
            lost = await rig.propose(late)
            assert lost.error == "version_conflict"
            for part in ("'c1'", "'op'", f"at version {won.index}"):
                assert part in lost.message

    asyncio.run(play())


def test_proposal_at_a_follower_names_the_leader():
    async def play():
        async with Rig(3) as rig:
            leader = await rig.await_leader()
            other = next(r for r in rig.replicas.values() if r != leader)
            with pytest.raises(NotLeaderError) as caught:
                await other.propose(make_change("c1"))
            assert caught.value.leader == leader.node

    asyncio.run(play())


def test_voter_at_a_second_address_is_refused():
    """One identity at two addresses would be counted once and asked twice."""

    async def play():
        async with Rig(3) as rig:
            leader = await rig.await_leader()
            with pytest.raises(RequestError, match="is a voter at"):
                await leader.changes.add(Voter(leader.node, "elsewhere"))

    asyncio.run(play())


def test_silence_of_a_dead_leader_is_known_to_the_next_one():
    # Guards against a new leader that counts the silence of the one before
    # from its own election.
    async def play():
        async with Rig(3) as rig:
            old = (await rig.await_leader()).node
            await rig.step(1.0)
            rig.crash(old)
            ended = rig.clock.monotonic()
            await rig.await_leader()
            await rig.step(1.0)
            leader = await rig.await_leader()
            silence = leader.changes.measure_silence(old)
            passed = rig.clock.monotonic() - ended
            assert silence == pytest.approx(passed, abs=0.5)

    asyncio.run(play())


def test_commands_that_wait_for_a_stalled_disk_are_bounded():
    # Guards against a leader that holds all that is proposed again and again
    # while its disk stalls.
    async def play():
        async with Rig(1) as rig:
            leader = await rig.await_leader()
            command = make_change("c", spec=bytes(1 << 20))
            async with leader._core.lock:
                waiting = [
                    asyncio.ensure_future(leader.propose(command))
                    for _ in range(40)
                ]
                await asyncio.sleep(0)
                refused = [w for w in waiting if w.done()]
                held = len(command) * (len(waiting) - len(refused))
                assert held <= MAX_HELD_BYTES
                for work in refused:
                    assert isinstance(work.exception(), BusyLeaderError)
            kept = [w for w in waiting if w not in refused]
            await rig.wait(lambda: all(w.done() for w in kept))
            assert (await rig.propose(make_change("d"))).error == ""

    asyncio.run(play())
