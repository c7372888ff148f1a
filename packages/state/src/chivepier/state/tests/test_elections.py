"""Tests of elections after all voters have lost power at once.

Some disks are lost as well, as many as are borne, so that all voters that
are left must vote for the same candidate.
"""

import asyncio
import random

import pytest

from chivepier.state.candidacy import Candidacy
from chivepier.state.prevotes import PreVotes
from chivepier.state.testing.rig import Rig
from chivepier.types import ManualClock

# Within this of the last start, an operator gets an answer.
CALM_SECONDS = 6.0
# Time between two starts of voters, at most.
MAX_START_GAP_SECONDS = 0.2
DOWN_SECONDS = 0.5
SEEDS = 200


async def measure_election(
    size: int, lost: int, slowest: float, seed: int
) -> float:
    """Return the seconds from the last start to a leader that can answer."""
    rng = random.Random(seed * 7919 + 13)
    async with Rig(size, seed) as rig:
        rig.network.slowest = slowest
        await rig.await_leader()
        names = list(rig.replicas)
        for name in names:
            rig.crash(name)
        gone = rng.sample(names, lost)
        await rig.step(DOWN_SECONDS)
        for name in names:
            if name not in gone:
                await rig.start(name)
                await rig.step(rng.uniform(0.0, MAX_START_GAP_SECONDS))
        started_at = rig.clock.monotonic()
        await rig.await_leader()
        return rig.clock.monotonic() - started_at


@pytest.mark.parametrize("size, lost", ((3, 1), (4, 1), (5, 2)))
@pytest.mark.parametrize("slowest", (0.01, 0.06))
def test_voters_that_all_lost_power_elect_a_leader_in_time(
    size, lost, slowest
):
    # Guards against candidates that stand at once, again and again, while
    # none of them can be spared: nobody leads for seconds.
    async def test():
        for seed in range(SEEDS):
            seconds = await measure_election(size, lost, slowest, seed)
            assert seconds < CALM_SECONDS, f"seed {seed}: {seconds:.2f} s"

    asyncio.run(test())


def test_pre_vote_goes_to_the_longest_log_alone():
    # Guards against two candidates that both pass, and share the votes.
    votes = PreVotes(ManualClock(), 0.5)
    assert votes.promise(Candidacy(2, 7, "b"))
    assert not votes.promise(Candidacy(2, 7, "a"))
    assert votes.promise(Candidacy(2, 8, "a"))
    assert votes.promise(Candidacy(2, 7, "a"))
    assert not votes.promise(Candidacy(2, 6, "b"))


def test_pre_vote_of_a_candidate_that_is_gone_is_given_again():
    # Guards against a promise that holds the others back for good.
    clock = ManualClock()
    votes = PreVotes(clock, 0.5)
    assert votes.promise(Candidacy(3, 9, "b"))
    clock.advance(0.5)
    assert votes.promise(Candidacy(2, 7, "a"))
