"""Shards that this node runs in an unreachable owner's place."""

import collections.abc

from chivepier.node.cluster import Cluster
from chivepier.node.shard import Shard

MAX_DEPUTIES = 3
DEPUTY_FRACTION = 0.25
IDLE_SECONDS = 10.0

MakeDeputy = collections.abc.Callable[[str, int, int], Shard]


class Deputies:
    """Stands in for owners that some entry can't reach.

    A dead owner is replaced by a new epoch, which takes seconds, and takes
    as long as there is no majority of voters: without a deputy its targets
    would serve nobody.  The owner may be alive, reached by other entries
    only, so a deputy uses no more than ``DEPUTY_FRACTION`` of each target,
    counting all that the entries it reaches have in flight there: at worst
    a target gets that much more than the owner meant it to.

    :param make: builds a shard and begins its takeover
    """

    def __init__(self, cluster: Cluster, make: MakeDeputy):
        self._cluster = cluster
        self._make = make
        self.shards: dict[tuple[str, int], Shard] = {}
        self._asked: dict[tuple[str, int], float] = {}

    def find(self, pool: str, number: int, rank: int) -> Shard | None:
        """Return the shard to serve by, beginning it when it is new.

        :param pool: the pool's name
        :param number: the shard's number
        :param rank: this node's place behind the owner, as the entry sees it
        :returns: ``None`` when this node may not take work
        """
        if not self._cluster.ready() or not 0 < rank <= MAX_DEPUTIES:
            return None
        self.review(False)
        key = (pool, number)
        self._asked[key] = self._cluster.clock.monotonic()
        if key not in self.shards:
            self.shards[key] = self._make(pool, number, rank)
        return self.shards[key]

    def holds(self, shard: Shard) -> bool:
        """Tell whether a shard may still be served by.

        :param shard: one of :attr:`shards`
        :returns: false from the next epoch on: it may have a new owner
        """
        cluster = self._cluster
        freshness = cluster.freshness
        return (
            freshness.fresh()
            and freshness.era == shard.era
            and cluster.machine.epoch == shard.epoch
        )

    def review(self, skipped: bool) -> None:
        """Close at once what may not be served by any more.

        :param skipped: whether epochs may have passed unseen
        """
        for key, shard in list(self.shards.items()):
            if skipped or not self.holds(shard):
                self._close(key)

    def expire(self) -> None:
        """Close what nobody has asked for in a while."""
        oldest = self._cluster.clock.monotonic() - IDLE_SECONDS
        for key in list(self.shards):
            if self._asked[key] < oldest:
                self._close(key)

    def _close(self, key: tuple[str, int]) -> None:
        self.shards.pop(key).close()
        del self._asked[key]
