"""The shards that this node owns."""

import asyncio
import collections.abc

from chivepier.membership import find_owner
from chivepier.membership import find_shard
from chivepier.messages import AnnounceAnswer
from chivepier.messages import Announcement
from chivepier.messages import CancelReport
from chivepier.messages import Member
from chivepier.messages import PermitAnswer
from chivepier.messages import PermitRequest
from chivepier.messages import ProgressReport
from chivepier.messages import ReleaseReport
from chivepier.messages import StopOrder
from chivepier.messages import TargetsAnswer
from chivepier.messages import TargetsRequest
from chivepier.node.cluster import Cluster
from chivepier.node.directory import Directory
from chivepier.node.shard import ANNOUNCE_SECONDS
from chivepier.node.shard import Shard
from chivepier.types import ErrorKind

TICK_SECONDS = 0.05
RETRY_SECONDS = 1.0


class Owner:
    """Runs the shards that rendezvous hashing gives to this node."""

    def __init__(self, cluster: Cluster, directory: Directory):
        self._cluster = cluster
        self._directory = directory
        self.shards: dict[tuple[str, int], Shard] = {}
        self.handle_stop: collections.abc.Callable = None
        self._tasks: set[asyncio.Task] = set()

    async def run(self) -> None:
        """Expire targets and settle waiting requests, on a timer."""
        while True:
            await asyncio.sleep(TICK_SECONDS)
            self._drop_lost()
            for shard in self.shards.values():
                shard.expire()

    def _drop_lost(self) -> None:
        for key in list(self.shards):
            if not self._owns(*key):
                del self.shards[key]

    def find(self, pool: str, number: int) -> Member | None:
        """Return the owner of a shard.

        :param pool: the pool's name
        :param number: the shard's number
        :returns: the member, or ``None`` while there are none
        """
        return find_owner(pool, number, self._cluster.members())

    def _owns(self, pool: str, number: int) -> bool:
        owner = self.find(pool, number)
        return owner is not None and owner.node == self._cluster.identity.node

    def _shard(self, pool: str, number: int) -> Shard | None:
        if not self._owns(pool, number) or not self._cluster.ready():
            return None
        key = (pool, number)
        if key not in self.shards:
            clock = self._cluster.clock
            self.shards[key] = Shard(
                pool, number, clock, self._directory, self._order_stop
            )
        return self.shards[key]

    def _order_stop(self, entry: str, order: StopOrder) -> None:
        if entry == self._cluster.peer_address:
            self.handle_stop(order)
            return
        task = asyncio.create_task(self._cluster.links.send(entry, order))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def handle_announcement(
        self, announcement: Announcement
    ) -> AnnounceAnswer:
        """Take a target's announcement as owner of its shard."""
        shards = max(1, self._directory.pool_shards(announcement.pool))
        number = find_shard(announcement.target, shards)
        shard = self._shard(announcement.pool, number)
        if shard is None:
            return AnnounceAnswer(False, ANNOUNCE_SECONDS)
        shard.announce(announcement)
        return AnnounceAnswer(True, ANNOUNCE_SECONDS)

    def handle_permit(self, request: PermitRequest):
        """Answer an entry's request, now or when there is room.

        :param request: the entry's request
        :returns: an answer, or a future of one
        """
        shard = self._shard(request.pool, request.shard)
        if shard is None:
            text = "this instance does not own the shard"
            kind = ErrorKind.NOT_READY.value
            return PermitAnswer(0, "", "", 0, kind, text, RETRY_SECONDS)
        future = shard.request(request)
        return future.result() if future.done() else future

    def handle_cancel(self, report: CancelReport) -> None:
        """Drop a waiting request."""
        shard = self.shards.get((report.pool, report.shard))
        if shard is not None:
            shard.cancel(report.request)

    def handle_progress(self, report: ProgressReport) -> None:
        """Note delivered tokens."""
        shard = self.shards.get((report.pool, report.shard))
        if shard is not None:
            for permit, tokens in report.tokens:
                shard.policy.progress(permit, tokens)

    def handle_release(self, report: ReleaseReport) -> None:
        """Take back a permit."""
        shard = self.shards.get((report.pool, report.shard))
        if shard is not None:
            shard.release(report)

    def handle_targets(self, request: TargetsRequest) -> TargetsAnswer:
        """List the targets of this node's shards."""
        found = [
            announcement
            for (pool, _), shard in self.shards.items()
            for announcement in shard.targets.values()
            if request.pool in ("", pool)
        ]
        return TargetsAnswer(tuple(found))
