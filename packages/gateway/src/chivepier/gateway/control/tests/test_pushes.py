"""Tests of the delay until all entries know what one of them observed."""

import asyncio

import pytest

from chivepier.gateway.control.tests.fleet import Follower
from chivepier.gateway.control.tests.fleet import play
from chivepier.gateway.control.tests.fleet import wait_until
from chivepier.gateway.following.voterclient import BEAT_SECONDS
from chivepier.gateway.limits import RateLimit
from chivepier.gateway.targets.tests.test_targettable import make
from chivepier.standins.loopclock import tell_time


def simulate_leaving(told: Follower, name: str) -> None:
    """Simulate a response with which a target announces its leaving."""
    told.leavers.record(told.table.get(name), tell_time())


def simulate_limit(told: Follower, name: str) -> None:
    """Simulate a response with which a target sets a rate limit."""
    known = told.limits.find(name, 0)
    told.limits.observe(name, 0, known, RateLimit(2.5), tell_time())


def report_crash(told: Follower, name: str) -> None:
    """Simulate the end of a target during a request of an entry."""
    told.simulate_crash(f"d-{name}", name)


@pytest.mark.parametrize(
    ("note", "knows"),
    (
        (simulate_leaving, lambda node, name: node.table.is_leaving(name)),
        (simulate_limit, lambda node, name: node.limits.find_rate(name, 0)),
        (
            report_crash,
            lambda node, name: node.quarantine.ledger.has_endings(f"d-{name}"),
        ),
    ),
    ids=("leaving", "limit", "loss"),
)
def test_observations_are_pushed_without_waiting_for_beats(
    tmp_path, note, knows
):
    # Guards against a delay of one or two beats, in which other entries send
    # requests that one entry already knows must not be sent.
    async def test(fleet):
        told, other = await fleet.follow_many(2)
        voter = fleet.voters[told.hub]
        for number in range(8):
            name = f"i{number}"
            voter.registry.announce(make(name, heard=tell_time()))
            for follower in (told, other):
                await wait_until(lambda f=follower, n=name: f.table.get(n))
            # at a different time between two beats in each round
            await asyncio.sleep(0.07 * number)
            began = tell_time()
            note(told, name)
            await wait_until(lambda n=name: knows(other, n))
            assert tell_time() - began < BEAT_SECONDS / 3

    play(test, tmp_path)
