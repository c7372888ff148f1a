"""Giving up on peers that can't be reached."""

import asyncio
import collections.abc
import contextlib

import attrs

from chivepier.node.cluster import Cluster
from chivepier.wire import LinkError

TICK_SECONDS = 0.25
QUIET_SECONDS = 0.5
PROBE_SECONDS = 1.0


@attrs.define(eq=False)
class Wait:
    """One request that waits at a peer."""

    peer: str
    since: float
    scope: asyncio.Timeout
    moved: collections.abc.Callable[[], bool]


class PeerWatch:
    """Ends waits at a peer that is silent or no longer the right one.

    A request may wait long in an owner's queue, or for a change to be in
    force, so silence alone says nothing: behind a cut link it would be held
    to its deadline.  One probe per peer tells for all that wait there.
    """

    def __init__(self, cluster: Cluster):
        self._cluster = cluster
        self._waits: set[Wait] = set()

    @contextlib.asynccontextmanager
    async def watch(
        self, peer: str, moved: collections.abc.Callable[[], bool]
    ) -> collections.abc.AsyncIterator[None]:
        """Wait at a peer for as long as it is worth it.

        :param peer: address of who was asked
        :param moved: whether another is to be asked by now
        :returns: a context
        :raises LinkError: when the wait was ended
        """
        now = self._cluster.clock.monotonic()
        scope = asyncio.timeout(None)
        wait = Wait(peer, now, scope, moved)
        try:
            async with scope:
                self._waits.add(wait)
                yield
        except TimeoutError:
            text = f"{peer} is silent, or another is to be asked"
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
        peers = {wait.peer for wait in self._waits if wait.since < oldest}
        await asyncio.gather(*(self._probe(peer) for peer in peers))

    async def _probe(self, address: str) -> None:
        cluster = self._cluster
        request = cluster.make_fresh_request()
        try:
            await cluster.links.request(address, request, PROBE_SECONDS)
        except LinkError:
            for wait in list(self._waits):
                if wait.peer == address:
                    self._end(wait)

    def _end(self, wait: Wait) -> None:
        self._waits.discard(wait)
        with contextlib.suppress(RuntimeError):
            wait.scope.reschedule(asyncio.get_running_loop().time())
