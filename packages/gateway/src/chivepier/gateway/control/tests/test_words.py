"""Tests of how soon all entries know what one of them has learned."""

import asyncio

import pytest

from chivepier.gateway.control.tests.fleet import Follower
from chivepier.gateway.control.tests.fleet import play
from chivepier.gateway.control.tests.fleet import wait_until
from chivepier.gateway.following.following import BEAT_SECONDS
from chivepier.gateway.limits import RateLimit
from chivepier.gateway.targets.tests.test_targettable import make
from chivepier.standins.loopclock import tell_time


def note_leaving(told: Follower, name: str) -> None:
    """Let a target's answer to an entry say that it leaves."""
    told.leavers.record(told.table.get(name), tell_time())


def note_limit(told: Follower, name: str) -> None:
    """Let a target's answer to an entry name a limit."""
    known = told.limits.find(name, 0)
    told.limits.observe(name, 0, known, RateLimit(2.5), tell_time())


def note_loss(told: Follower, name: str) -> None:
    """Let a target end under a request of an entry."""
    told.end_under(f"d-{name}", name)


@pytest.mark.parametrize(
    ("note", "knows"),
    (
        (note_leaving, lambda node, name: node.table.is_leaving(name)),
        (note_limit, lambda node, name: node.limits.find_rate(name, 0)),
        (
            note_loss,
            lambda node, name: node.quarantine.ledger.has_endings(f"d-{name}"),
        ),
    ),
    ids=("leaving", "limit", "loss"),
)
def test_entries_are_told_at_once_and_not_with_beats_alone(
    tmp_path, note, knows
):
    # For a beat, or two, others sent what one entry knew must not be sent.
    async def test(fleet):
        told, other = await fleet.follow_many(2)
        voter = fleet.voters[told.hub]
        for number in range(8):
            name = f"i{number}"
            voter.registry.announce(make(name, heard=tell_time()))
            for follower in (told, other):
                await wait_until(lambda f=follower, n=name: f.table.get(n))
            # at another moment between two beats each time
            await asyncio.sleep(0.07 * number)
            began = tell_time()
            note(told, name)
            await wait_until(lambda n=name: knows(other, n))
            assert tell_time() - began < BEAT_SECONDS / 3

    play(test, tmp_path)
