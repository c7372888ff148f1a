"""The shards that this node owns."""

import asyncio
import collections.abc
import itertools

import attrs

from chivepier.membership import find_owner
from chivepier.membership import rank_owners
from chivepier.messages import AdoptRequest
from chivepier.messages import AnnounceAnswer
from chivepier.messages import Announcement
from chivepier.messages import CancelReport
from chivepier.messages import ConfirmAnswer
from chivepier.messages import ConfirmRequest
from chivepier.messages import DeputyAnnouncement
from chivepier.messages import Member
from chivepier.messages import PermitAnswer
from chivepier.messages import PermitRequest
from chivepier.messages import ProgressReport
from chivepier.messages import ReleaseReport
from chivepier.messages import StopOrder
from chivepier.messages import TakeoverAnswer
from chivepier.messages import TakeoverRequest
from chivepier.messages import TargetsAnswer
from chivepier.messages import TargetsRequest
from chivepier.node.announcedtargets import ANNOUNCE_SECONDS
from chivepier.node.cluster import Cluster
from chivepier.node.deputies import Deputies
from chivepier.node.deputies import DEPUTY_FRACTION
from chivepier.node.deputies import MAX_DEPUTIES
from chivepier.node.directory import Directory
from chivepier.node.permitanswers import make_refusal
from chivepier.node.permitnumber import find_rank
from chivepier.node.permitnumber import tag_permit
from chivepier.node.permitrecord import name_holder
from chivepier.node.reconciliation import Reconciliation
from chivepier.node.shard import MOVED_RETRY_SECONDS
from chivepier.node.shard import Shard
from chivepier.node.takeover import Takeover
from chivepier.types import ErrorKind

TICK_SECONDS = 0.05
WATCH_TICKS = 10


class Owner:
    """Runs the shards that rendezvous hashing gives to this node.

    A shard is opened once the epoch that gave it to this node is in force,
    so that no other node admits to it any more, and once the members have
    told what they have in flight.  It is closed the moment a later epoch
    takes it away, or the lease on the configuration runs out.

    :param tell_stop: takes a stop order that is for this very node
    :param tell_inflight: answers a takeover request for this very node
    """

    def __init__(self, cluster: Cluster, directory: Directory):
        self._cluster = cluster
        self._directory = directory
        self.shards: dict[tuple[str, int], Shard] = {}
        self.tell_stop: collections.abc.Callable[[StopOrder], None] = None
        self.tell_inflight: collections.abc.Callable[
            [TakeoverRequest], TakeoverAnswer
        ] = None
        self._given = itertools.count(1)
        self._suspecting: set[tuple[str, int]] = set()
        self._tasks: set[asyncio.Task] = set()
        self.deputies = Deputies(cluster, self._make_deputy)
        # what tells it is built after this: looked up at each use
        self._takeover = Takeover(cluster, lambda r: self.tell_inflight(r))
        self._reconciliation = Reconciliation(cluster)
        cluster.machine.epoch_watchers.append(self._review)

    async def run(self) -> None:
        """Expire targets and settle waiting requests, on a timer."""
        for tick in itertools.count():
            await asyncio.sleep(TICK_SECONDS)
            self._cluster.dead.forget()
            self._review(False)
            self._claim()
            self.deputies.expire()
            for shard in self._list_shards():
                shard.expire()
            if tick % WATCH_TICKS == 0:
                self._watch()

    def _list_shards(self) -> list[Shard]:
        return [*self.shards.values(), *self.deputies.shards.values()]

    def _review(self, skipped: bool) -> None:
        """Close at once what this node owns no more.

        :param skipped: whether epochs may have passed unseen
        """
        for key, shard in list(self.shards.items()):
            if skipped or not self._holds(shard):
                del self.shards[key]
                shard.close()
        self.deputies.review(skipped)

    def _claim(self) -> None:
        """Take over what this node owns, before it is asked for it."""
        for template in self._directory.templates().values():
            for number in range(template.shards):
                if self._owns(template.pool, number):
                    self._find_own(template.pool, number)

    def find(self, pool: str, number: int) -> Member | None:
        """Return the owner of a shard.

        :param pool: the pool's name
        :param number: the shard's number
        :returns: the member, or ``None`` while there are none
        """
        return find_owner(pool, number, self._cluster.reachable())

    def rank(self, pool: str, number: int) -> list[Member]:
        """Return a shard's owner and its deputies, in order.

        :param pool: the pool's name
        :param number: the shard's number
        :returns: members; the owner comes first
        """
        ranked = rank_owners(pool, number, self._cluster.reachable())
        return ranked[: MAX_DEPUTIES + 1]

    def _owns(self, pool: str, number: int) -> bool:
        cluster = self._cluster
        owner = find_owner(pool, number, cluster.owners())
        return (
            owner is not None
            and owner.node == cluster.identity.node
            and owner.incarnation == cluster.incarnation
        )

    def _holds(self, shard: Shard) -> bool:
        # asked at each use: the process may have been stopped for longer
        # than its lease, and another node owns the shard by now
        freshness = self._cluster.freshness
        return (
            freshness.fresh()
            and freshness.era == shard.era
            and self._owns(shard.pool, shard.number)
        )

    def _find_own(self, pool: str, number: int) -> Shard | None:
        key = (pool, number)
        shard = self.shards.get(key)
        if shard is not None and not self._holds(shard):
            self._review(False)
            shard = None
        if shard is None:
            cluster = self._cluster
            if not cluster.ready():
                return None
            if not self._owns(pool, number):
                self._suspect(pool, number)
                return None
            shard = self._make_shard(pool, number)
            self.shards[key] = shard
            self._spawn(self._takeover.take_over(shard))
        return shard

    def _suspect(self, pool: str, number: int) -> None:
        key = (pool, number)
        if key not in self._suspecting:
            self._suspecting.add(key)
            self._spawn(self._check_earlier(key))

    async def _check_earlier(self, key: tuple[str, int]) -> None:
        """See whether all ended that would own before this node."""
        cluster = self._cluster
        members = cluster.owners()
        try:
            while owner := find_owner(*key, members):
                if owner.node == cluster.identity.node:
                    return
                if not await cluster.dead.check(owner):
                    return
                cluster.dead.confirm(owner)
                members.remove(owner)
        finally:
            self._suspecting.discard(key)

    def _make_deputy(self, pool: str, number: int, rank: int) -> Shard:
        shard = self._make_shard(pool, number, rank)
        self._spawn(self._takeover.take_over(shard))
        return shard

    def _make_shard(self, pool: str, number: int, rank: int = 0) -> Shard:
        cluster = self._cluster
        epoch = cluster.machine.epoch
        # one owner and one deputy of a rank an epoch, and the count goes on
        # over lost leases: no number is given twice
        numbers = (tag_permit(epoch, rank, n) for n in self._given)
        return Shard(
            pool,
            number,
            cluster.clock,
            self._directory,
            epoch=epoch,
            era=cluster.freshness.era,
            numbers=numbers,
            may_admit=self.deputies.holds if rank else self._holds,
            order_stop=self._order_stop,
            fraction=DEPUTY_FRACTION if rank else 1.0,
        )

    def _spawn(self, work: collections.abc.Coroutine) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # --- permits whose end was not heard of --------------------------------

    def _watch(self) -> None:
        for shard, member in self._reconciliation.watch(self._list_shards()):
            self._spawn(self._reconciliation.reconcile(shard, member))

    def _order_stop(self, entry: str, order: StopOrder) -> None:
        if entry == self._cluster.peer_address:
            self.tell_stop(order)
        elif entry:
            self._spawn(self._cluster.links.send(entry, order))

    # --- messages ----------------------------------------------------------

    def handle_announcement(
        self, announcement: Announcement
    ) -> AnnounceAnswer:
        """Take a target's announcement as owner of its shard."""
        number = self._directory.find_shard(announcement)
        shard = self._find_own(announcement.pool, number)
        return self._announce(shard, announcement)

    def handle_deputy(self, message: DeputyAnnouncement) -> AnnounceAnswer:
        """Take a target's announcement as deputy of its shard."""
        announcement = message.announcement
        number = self._directory.find_shard(announcement)
        shard = self.deputies.find(announcement.pool, number, message.rank)
        return self._announce(shard, announcement)

    def _announce(
        self, shard: Shard | None, announcement: Announcement
    ) -> AnnounceAnswer:
        if shard is not None:
            shard.announce(announcement)
        return AnnounceAnswer(shard is not None, ANNOUNCE_SECONDS)

    def handle_permit(self, request: PermitRequest):
        """Answer an entry's request, now or when there is room.

        :param request: the entry's request
        :returns: an answer, or a future of one
        """
        shard = self._find_serving(request.pool, request.shard, request.rank)
        if shard is None:
            return self._refuse()
        future = shard.request(request)
        return future.result() if future.done() else future

    def handle_adopt(self, request: AdoptRequest) -> PermitAnswer:
        """Count a generation that an entry resumed."""
        asked = request.request
        shard = self._find_serving(asked.pool, asked.shard, asked.rank)
        if shard is None:
            return self._refuse()
        return shard.resume(
            asked, request.target, request.tokens, request.permit
        )

    def _find_serving(self, pool: str, number: int, rank: int) -> Shard | None:
        if rank:
            return self.deputies.find(pool, number, rank)
        return self._find_own(pool, number)

    def _find_any(self, pool: str, number: int) -> list[Shard]:
        key = (pool, number)
        found = (self.shards.get(key), self.deputies.shards.get(key))
        return [shard for shard in found if shard is not None]

    def _refuse(self) -> PermitAnswer:
        text = "this instance does not own the shard"
        return make_refusal(ErrorKind.NOT_READY, text, MOVED_RETRY_SECONDS)

    def handle_confirm(self, request: ConfirmRequest) -> ConfirmAnswer:
        """Tell whether a permit may still be used."""
        rank = find_rank(request.permit)
        shard = self._find_serving(request.pool, request.shard, rank)
        valid = shard is not None and shard.confirm(request.permit)
        return ConfirmAnswer(valid)

    def handle_cancel(self, report: CancelReport) -> None:
        """Drop a waiting request."""
        for shard in self._find_any(report.pool, report.shard):
            shard.cancel(report.request)

    def handle_progress(self, report: ProgressReport) -> None:
        """Note delivered tokens; ask the entry about unknown permits."""
        for shard in self._find_any(report.pool, report.shard):
            if shard.progress(report):
                continue
            for member in self._cluster.members():
                if name_holder(member) == report.entry:
                    self._spawn(self._reconciliation.reconcile(shard, member))

    def handle_release(self, report: ReleaseReport) -> None:
        """Take back a permit."""
        for shard in self._find_any(report.pool, report.shard):
            shard.release(report)

    def handle_targets(self, request: TargetsRequest) -> TargetsAnswer:
        """List the targets of this node's shards."""
        # nobody who lists targets wants their cache events, the largest part
        found = [
            attrs.evolve(announcement, cached=())
            for shard in self.shards.values()
            for announcement in shard.targets.values()
            if request.pool in ("", shard.pool)
        ]
        return TargetsAnswer(tuple(found))
