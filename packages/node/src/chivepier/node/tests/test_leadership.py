"""Tests of the leader's answer that a version is in force."""

import asyncio
import types

from chivepier.membership import LeaseTerms
from chivepier.messages import Member
from chivepier.node.leadership import Leadership
from chivepier.standins.loopclock import LoopClock
from chivepier.standins.playedloop import play_time
from chivepier.state import MemberSets
from chivepier.types import Signal


def make_member(name: str) -> Member:
    return Member(name, 1, name, "r", "z", f"{name}:1", f"{name}:2", False)


def make_cluster(sets: MemberSets) -> types.SimpleNamespace:
    storage = types.SimpleNamespace(term=1)
    return types.SimpleNamespace(
        clock=LoopClock(),
        terms=LeaseTerms(),
        machine=types.SimpleNamespace(member_sets=sets, changed=Signal()),
        replica=types.SimpleNamespace(storage=storage, leads=lambda: True),
    )


def test_change_is_answered_once_a_successor_knows_its_epoch():
    """A leader killed after its answer leaves sets that need itself."""
    sets = MemberSets()
    sets.add(2, [make_member("a")])
    sets.add(4, [make_member("a"), make_member("b")])

    async def answer():
        leadership = Leadership(make_cluster(sets))
        leadership.force.in_force = 8
        waiting = asyncio.create_task(leadership.wait_in_force(8))
        await asyncio.sleep(1.0)
        assert not waiting.done()
        sets.settle(8)
        await asyncio.wait_for(waiting, 1.0)

    play_time(answer())
