"""Tests of voters that are told what no message between them can carry."""

import asyncio

from chivepier.gateway.control.tests.fleet import Fleet
from chivepier.gateway.control.tests.fleet import play
from chivepier.gateway.control.tests.fleet import wait_until
from chivepier.gateway.targets import Target
from chivepier.gateway.targets import TargetState
from chivepier.standins.loopclock import tell_time

LONE_SURROGATE = "\ud800"
ELECTION_SECONDS = 6.0
# Seconds for which each voter pushes the target, a beat after the other.
PUSH_SECONDS = 3.0


def make_target(number: int) -> Target:
    """Make a target whose software has a name that can't be encoded."""
    return Target(
        instance="i-1",
        service="s",
        address="127.0.0.1:80",
        zone="z",
        state=TargetState.READY,
        number=number,
        slots=1,
        heard=tell_time(),
        software_version=LONE_SURROGATE,
    )


def test_target_that_cannot_be_told_of_leaves_the_voters_a_leader(tmp_path):
    # Guards against voters that all run, answer callers and know no leader,
    # in one term to the end, as none can send to another.
    async def test(fleet: Fleet) -> None:
        await fleet.write(2)
        for number, voter in enumerate(fleet.voters.values()):
            voter.registry.announce(make_target(number))
        await asyncio.sleep(PUSH_SECONDS)
        async with asyncio.timeout(ELECTION_SECONDS):
            await wait_until(lambda: fleet.find_leader() is not None)
            await fleet.write(3)

    play(test, tmp_path)
