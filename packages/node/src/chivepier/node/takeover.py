"""Taking a shard over from its earlier owner."""

import asyncio
import collections.abc

from chivepier.messages import Member
from chivepier.messages import TakeoverAnswer
from chivepier.messages import TakeoverRequest
from chivepier.node.cluster import Cluster
from chivepier.node.shard import Shard
from chivepier.wire import LinkError

POLL_SECONDS = 0.02

AskHere = collections.abc.Callable[[TakeoverRequest], TakeoverAnswer]


class Takeover:
    """Opens a shard once its earlier owner admits nothing any more.

    :param ask_here: answers a takeover request for this very node
    """

    def __init__(self, cluster: Cluster, ask_here: AskHere):
        self._cluster = cluster
        self._ask_here = ask_here

    async def take_over(self, shard: Shard) -> None:
        """Learn what is in flight in a shard, then open it.

        :param shard: a new one; nothing happens once it is closed
        """
        cluster = self._cluster
        while cluster.in_force < shard.epoch and not shard.closed:
            await asyncio.sleep(POLL_SECONDS)
        end = cluster.clock.monotonic() + cluster.terms.outlast
        await asyncio.gather(
            *(self._hear(shard, m, end) for m in cluster.owners())
        )
        if not shard.closed:
            shard.open()

    async def _hear(self, shard: Shard, member: Member, end: float) -> None:
        """Learn what a member knows, until it answers or is given up."""
        cluster = self._cluster
        request = TakeoverRequest(
            cluster.peer_address, shard.pool, shard.number, shard.epoch
        )
        while not shard.closed and cluster.clock.monotonic() < end:
            known = cluster.machine.members.get(member.node)
            if known is None or known.incarnation != member.incarnation:
                return
            answer = await self._ask(member, request)
            if answer is not None and answer.ready:
                entry = member.peer_address
                shard.adopt(answer.holder, entry, answer.permits)
                for announcement in answer.targets:
                    shard.announce(announcement)
                return
            await asyncio.sleep(POLL_SECONDS)

    async def _ask(
        self, member: Member, request: TakeoverRequest
    ) -> TakeoverAnswer | None:
        cluster = self._cluster
        if member.node == cluster.identity.node:
            return self._ask_here(request)
        try:
            return await cluster.links.request(
                member.peer_address, request, cluster.terms.request
            )
        except LinkError:
            return None
