"""Stopping gracefully."""

import asyncio

import logbook

from chivepier.messages import encode
from chivepier.messages import LeaveCommand
from chivepier.node.cluster import Cluster
from chivepier.node.commander import Commander
from chivepier.node.inprogress import InProgress
from chivepier.node.renewal import Renewal

log = logbook.Logger("drain")

COMMIT_SECONDS = 10.0
LEAVE_SECONDS = 2.0
POLL_SECONDS = 0.02
TRANSIT_SECONDS = 1.0


class Drain:
    """Takes this instance out of use without cutting off a request.

    Callers keep an answer with addresses for its time to live, which begins
    to run out only when no instance hands this one out any more: when the
    draining mark is in force.  So new requests are taken until then, for
    that time after it, and for as long as the last answer and the request
    that follows it may travel: their caller would else be refused at an
    instance that it was told to use.
    """

    def __init__(
        self,
        cluster: Cluster,
        renewal: Renewal,
        commander: Commander,
        progress: InProgress,
    ):
        self._cluster = cluster
        self._renewal = renewal
        self._commander = commander
        self._progress = progress

    async def run(self) -> None:
        """Carry it out; the process may end when this returns."""
        cluster = self._cluster
        cluster.draining = True
        if cluster.freshness.era:
            await self._leave_addresses()
            await cluster.clock.sleep(
                cluster.settings.address_ttl + TRANSIT_SECONDS
            )
        self._progress.refusing = True
        log.info("drain: finishing requests={}", self._progress.count)
        await self._progress.wait_idle()
        await self._leave_members()
        log.info("drain: done")

    async def _leave_addresses(self) -> None:
        cluster = self._cluster
        self._renewal.hurry()
        try:
            async with asyncio.timeout(COMMIT_SECONDS):
                while not self._marked():
                    await cluster.clock.sleep(POLL_SECONDS)
                epoch = cluster.machine.epoch
                while cluster.in_force < epoch:
                    self._renewal.hurry()
                    await cluster.clock.sleep(POLL_SECONDS)
            log.info("drain: out of the addresses answer epoch={}", epoch)
        except TimeoutError:
            # cut off, or no voters' majority: the members that see this
            # one's lease run out drop it without being told
            log.warn("drain: the mark is not in force, going on")

    def _marked(self) -> bool:
        cluster = self._cluster
        member = cluster.machine.members.get(cluster.identity.node)
        return member == cluster.me

    async def _leave_members(self) -> None:
        cluster = self._cluster
        # a renewal after the leave would join again
        cluster.leaving = True
        if not cluster.joined():
            return
        leave = LeaveCommand(cluster.identity.node, cluster.incarnation)
        await self._commander.run(encode(leave), LEAVE_SECONDS)
