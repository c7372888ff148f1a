"""Which member an entry asks for a shard's permits."""

import collections.abc
import datetime

from chivepier.messages import Member
from chivepier.messages import PermitRequest
from chivepier.node.cluster import Cluster
from chivepier.node.owner import Owner
from chivepier.node.permitnumber import find_rank
from chivepier.node.unreachable import Unreachable
from chivepier.types import ErrorKind
from chivepier.types import Failure
from chivepier.types import RequestError

MOVE_POLL_SECONDS = 0.05
OWNER_RETRY = datetime.timedelta(seconds=2)


class OwnerChoice:
    """Chooses between a shard's owner and its deputies.

    :ivar unreachable: members that did not answer a moment ago
    """

    def __init__(self, cluster: Cluster, owner: Owner):
        self._cluster = cluster
        self._owner = owner
        self.unreachable = Unreachable(cluster.clock)

    def find(self, pool: str, shard: int) -> tuple[Member, int]:
        """Return whom to ask: the owner, or the first reachable deputy.

        :param pool: the pool's name
        :param shard: the shard's number
        :returns: the member and its rank, 0 for the owner
        :raises RequestError: ``not_ready`` when there is none
        """
        ranked = self._owner.rank(pool, shard)
        if not ranked:
            raise RequestError.of(ErrorKind.NOT_READY, "no members yet")
        for rank, member in enumerate(ranked):
            if member not in self.unreachable:
                return member, rank
        text = "neither the shard's owner nor a deputy answers"
        raise RequestError(
            Failure(ErrorKind.NOT_READY, text, retry_after=OWNER_RETRY)
        )

    def find_giver(self, request: PermitRequest, permit: int) -> Member:
        """Return who gave a permit.

        :param request: what was asked
        :param permit: the permit's number
        :returns: the owner or a deputy
        :raises RequestError: ``not_ready`` when it has no such rank now
        """
        ranked = self._owner.rank(request.pool, request.shard)
        rank = find_rank(permit)
        if rank >= len(ranked):
            raise RequestError.of(ErrorKind.NOT_READY, "the shard moved")
        return ranked[rank]

    def list_told(
        self, pool: str, shard: int, rank: int
    ) -> collections.abc.Iterator[Member]:
        """Yield who hears of a permit: the owner, and who gave it.

        :param pool: the pool's name
        :param shard: the shard's number
        :param rank: of the permit's giver
        :returns: those that are reachable when their turn comes
        """
        ranked = self._owner.rank(pool, shard)
        for place in {0, rank}:
            if place < len(ranked) and ranked[place] not in self.unreachable:
                yield ranked[place]

    def has_rank(self, member: Member, request: PermitRequest) -> bool:
        """Tell whether a member is still the one to ask.

        :param member: whom a request was put to
        :param request: what was asked, at the member's rank
        :returns: false when the shard moved
        """
        ranked = self._owner.rank(request.pool, request.shard)
        rank = request.rank
        return rank < len(ranked) and ranked[rank] == member

    def is_here(self, member: Member) -> bool:
        """Tell whether a member is this very node."""
        return member.node == self._cluster.identity.node
