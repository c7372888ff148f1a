"""Renewing the lease and hearing of changes."""

import asyncio
import types

from chivepier.membership import Freshness
from chivepier.membership import LeaseTerms
from chivepier.messages import ChangedNotice
from chivepier.messages import RenewAnswer
from chivepier.node.renewal import Renewal
from chivepier.types import ManualClock

TERMS = LeaseTerms(renew=1000.0)


class Leader:
    """Answers renewals; the cluster of one node that renews there."""

    def __init__(self):
        self.versions = []
        self.clock = ManualClock()
        self.machine = types.SimpleNamespace(version=1, members={}, voters=())
        self.replica = None
        self.terms = TERMS
        self.freshness = Freshness(self.clock, TERMS)
        self.links = self
        self.leader = "leader:1"
        self.leaving = False
        self.in_force = 0
        self.me = None

    def find_leader(self):
        """Return the leader's address."""
        return self.leader

    def ready(self):
        """Tell that the node is ready, so that it renews seldom."""
        return True

    async def request(self, address, request, timeout):
        """Note what the node says it has."""
        self.versions.append(request.version)
        return RenewAnswer(True, self.leader, 1, 0)


async def wait_for(condition):
    """Let the loop run until a condition holds."""
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0)


def test_change_that_is_applied_already_is_acknowledged_at_once():
    """A voter has applied a change by its log when the notice comes.

    The operator waited 0.6 s for each change: nothing was left to fetch,
    so the node did not hurry, and the leader heard of it a renewal later.
    """

    async def body():
        cluster = Leader()
        renewal = Renewal(cluster)
        task = asyncio.create_task(renewal.run())
        await wait_for(lambda: cluster.versions == [1])
        await asyncio.sleep(0.01)
        cluster.machine.version = 2
        renewal.handle_notice(ChangedNotice(2, cluster.leader))
        await wait_for(lambda: cluster.versions[-1] == 2)
        renewal.handle_notice(ChangedNotice(2, cluster.leader))
        for _ in range(10):
            await asyncio.sleep(0)
        assert cluster.versions == [1, 2]
        task.cancel()

    asyncio.run(body())


def test_notice_during_a_renewal_is_not_slept_over():
    """The notice comes while the node is busy renewing."""

    async def body():
        cluster = Leader()
        renewal = Renewal(cluster)
        plain = cluster.request

        async def request(address, message, timeout):
            answer = await plain(address, message, timeout)
            if len(cluster.versions) == 1:
                cluster.machine.version = 2
                notice = ChangedNotice(2, cluster.leader)
                renewal.handle_notice(notice)
            return answer

        cluster.request = request
        task = asyncio.create_task(renewal.run())
        await wait_for(lambda: cluster.versions == [1, 2])
        task.cancel()

    asyncio.run(body())
