"""Tests of the order of a graceful stop, on a clock held in hand."""

import asyncio

import attrs

from chivepier.membership import Freshness
from chivepier.membership import LeaseTerms
from chivepier.messages import encode
from chivepier.messages import Entry
from chivepier.messages import JoinCommand
from chivepier.node.cluster import Cluster
from chivepier.node.drain import Drain
from chivepier.node.drain import TRANSIT_SECONDS
from chivepier.node.inprogress import InProgress
from chivepier.node.tests.test_ownership import make_settings
from chivepier.state import Identity
from chivepier.state import Machine
from chivepier.types import ManualClock


class Renewing:
    """Commits what the node says of itself, as a renewal does."""

    def __init__(self, cluster):
        self.cluster = cluster

    def hurry(self):
        """Commit at once, and let it be in force."""
        machine = self.cluster.machine
        index = machine.index + 1
        machine.apply(Entry(1, index, encode(JoinCommand(self.cluster.me))))
        self.cluster.in_force = index


class Commanding:
    """Takes the leave."""

    async def run(self, command, timeout):
        """Accept it."""


def make_cluster(clock):
    """Return a member's view."""
    terms = LeaseTerms()
    cluster = Cluster(
        settings=attrs.evolve(make_settings("a"), address_ttl=1.0),
        clock=clock,
        identity=Identity("a"),
        incarnation=1,
        terms=terms,
        machine=Machine(),
        freshness=Freshness(clock, terms),
    )
    cluster.freshness.confirm(clock.monotonic())
    return cluster


async def settle():
    """Let the tasks run until they wait for the clock."""
    for _ in range(20):
        await asyncio.sleep(0)


def test_answers_that_were_still_travelling_are_waited_for():
    """An addresses answer leaves right before the draining mark is in force.

    Its caller counts the time to live from when the answer came, and its
    request travels too: it met "draining" at the instance it was told to
    use. The instance takes requests for that long beyond the time to live.
    """

    async def body():
        clock = ManualClock()
        cluster = make_cluster(clock)
        progress = InProgress()
        renewing = Renewing(cluster)
        drain = Drain(cluster, renewing, Commanding(), progress)
        task = asyncio.create_task(drain.run())
        await settle()
        clock.advance(1.0)
        await settle()
        assert not progress.refusing
        clock.advance(TRANSIT_SECONDS)
        await settle()
        assert progress.refusing
        await task

    asyncio.run(body())
