"""Giving up on owners that can't be reached."""

import asyncio
import collections.abc
import contextlib

import attrs

from chivepier.messages import FreshRequest
from chivepier.messages import Member
from chivepier.node.cluster import Cluster
from chivepier.wire import LinkError

TICK_SECONDS = 0.25
QUIET_SECONDS = 0.5
PROBE_SECONDS = 1.0


@attrs.define(eq=False)
class Wait:
    """One request that waits at an owner."""

    owner: Member
    since: float
    scope: asyncio.Timeout
    moved: collections.abc.Callable[[], bool]


class OwnerWatch:
    """Ends waits at an owner that is silent or owns the shard no more.

    A request may wait long in an owner's queue, so silence alone says
    nothing: behind a cut link it would be held to its deadline.  One probe
    per owner tells for all that wait there.
    """

    def __init__(self, cluster: Cluster):
        self._cluster = cluster
        self._waits: set[Wait] = set()

    @contextlib.asynccontextmanager
    async def watch(
        self,
        owner: Member,
        moved: collections.abc.Callable[[], bool],
    ) -> collections.abc.AsyncIterator[None]:
        """Wait at an owner for as long as it is worth it.

        :param owner: who was asked
        :param moved: whether the shard has another owner by now
        :returns: a context
        :raises LinkError: when the wait was ended
        """
        now = self._cluster.clock.monotonic()
        scope = asyncio.timeout(None)
        wait = Wait(owner, now, scope, moved)
        try:
            async with scope:
                self._waits.add(wait)
                yield
        except TimeoutError:
            text = f"{owner.name} is silent or owns the shard no more"
            raise LinkError(text, sent=True) from None
        finally:
            self._waits.discard(wait)

    async def run(self) -> None:
        """Look at the waits for as long as the node lives."""
        while True:
            await asyncio.sleep(TICK_SECONDS)
            for wait in list(self._waits):
                if wait.moved():
                    self._end(wait)
            await self._probe_all()

    async def _probe_all(self) -> None:
        oldest = self._cluster.clock.monotonic() - QUIET_SECONDS
        owners = {
            wait.owner.peer_address
            for wait in self._waits
            if wait.since < oldest
        }
        await asyncio.gather(*(self._probe(a) for a in owners))

    async def _probe(self, address: str) -> None:
        cluster = self._cluster
        request = FreshRequest(
            cluster.identity.node,
            cluster.incarnation,
            cluster.machine.version,
        )
        try:
            await cluster.links.request(address, request, PROBE_SECONDS)
        except LinkError:
            for wait in list(self._waits):
                if wait.owner.peer_address == address:
                    self._end(wait)

    def _end(self, wait: Wait) -> None:
        self._waits.discard(wait)
        with contextlib.suppress(RuntimeError):
            wait.scope.reschedule(asyncio.get_running_loop().time())
