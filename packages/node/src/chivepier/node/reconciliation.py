"""Permits whose end was not heard of, at the owner."""

import collections.abc

from chivepier.messages import InflightReport
from chivepier.messages import InflightRequest
from chivepier.messages import Member
from chivepier.node.cluster import Cluster
from chivepier.node.permitrecord import name_holder
from chivepier.node.shard import Shard
from chivepier.wire import LinkError

RECONCILE_SECONDS = 1.5


class Reconciliation:
    """Compares an owner's record with what an entry has in flight.

    A report that was lost with a link would leave a permit counted for
    good, or a generation uncounted; the entry's full list mends both.
    """

    def __init__(self, cluster: Cluster):
        self._cluster = cluster

    def watch(
        self, shards: collections.abc.Iterable[Shard]
    ) -> collections.abc.Iterator[tuple[Shard, Member]]:
        """Look after the permits of shards.

        :param shards: those that this node runs
        :returns: which shard to compare with which entry: the silent ones
        """
        cluster = self._cluster
        members = {name_holder(m): m for m in cluster.members()}
        oldest = cluster.clock.monotonic() - RECONCILE_SECONDS
        for shard in shards:
            shard.watch(members.keys())
            for holder in shard.silent_holders(oldest):
                yield shard, members[holder]

    async def reconcile(self, shard: Shard, member: Member) -> None:
        """Compare with one entry.

        :param shard: one that this node runs
        :param member: the entry; this node itself can't differ
        """
        cluster = self._cluster
        if member.node == cluster.identity.node:
            return
        before = cluster.clock.monotonic() - RECONCILE_SECONDS
        request = InflightRequest(
            cluster.peer_address, shard.pool, shard.number
        )
        try:
            report: InflightReport = await cluster.links.request(
                member.peer_address, request, cluster.terms.request
            )
        except LinkError:
            return
        if report.entry == name_holder(member):
            entry = member.peer_address
            shard.adopt(report.entry, entry, report.permits)
            shard.reconcile(report.entry, report.permits, before)
