"""Permits, on the entry's side."""

import collections.abc
import contextlib
import datetime
import itertools

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
from chivepier.node.inflight import Inflight
from chivepier.node.owner import Owner
from chivepier.types import ErrorKind
from chivepier.types import Failure
from chivepier.types import RequestError
from chivepier.wire import LinkError

LINK_SECONDS = 2.0
PERMIT_SECONDS = 1.0
PROGRESS_SECONDS = 0.25
PROGRESS_BYTES = 12
PROGRESS_BYTES_PER_SECOND = 8000


class Permits:
    """Asks owners for permits and tells them how requests ended.

    The life of one request is::

        permit = await permits.acquire(request)
        try:
            with permits.hold(request, permit) as inflight:
                ...  # connect to permit.address, relay
                permits.report_progress(inflight, tokens)
                # inflight.stopped is an event: end the stream when set
        finally:
            await permits.release(report)

    ``hold`` comes right before the request is sent to its target: a permit
    that is not used within ``PERMIT_SECONDS`` is refused there, ``ran`` no.
    """

    def __init__(self, cluster: Cluster, owner: Owner):
        self._cluster = cluster
        self._owner = owner
        self._numbers = itertools.count(1)
        self._inflight: dict[tuple[str, int, int], Inflight] = {}

    async def run(self) -> None:
        """Report progress for as long as the node lives."""
        while True:
            # a busy entry reports less often, so that reports keep to a
            # fixed share of the budget of bytes
            size = len(self._inflight) * PROGRESS_BYTES
            wait = max(PROGRESS_SECONDS, size / PROGRESS_BYTES_PER_SECOND)
            await self._cluster.clock.sleep(wait)
            await self._send_progress()

    async def _send_progress(self) -> None:
        shards: dict[tuple[str, int], list[tuple[int, int]]] = {}
        for (pool, shard, permit), inflight in self._inflight.items():
            tokens = shards.setdefault((pool, shard), [])
            tokens.append((permit, inflight.tokens))
        for (pool, shard), tokens in shards.items():
            report = ProgressReport(
                self._cluster.holder, pool, shard, tuple(tokens)
            )
            await self._tell(report)

    async def _tell(self, report: ProgressReport | ReleaseReport) -> None:
        owner = self._owner.find(report.pool, report.shard)
        if owner is None:
            return
        if not self._mine(owner):
            await self._cluster.links.send(owner.peer_address, report)
        elif isinstance(report, ProgressReport):
            self._owner.handle_progress(report)
        else:
            self._owner.handle_release(report)

    @contextlib.contextmanager
    def hold(
        self, request: PermitRequest, permit: PermitAnswer
    ) -> collections.abc.Iterator[Inflight]:
        """Use a permit: enter right before sending to the target.

        :param request: what was asked
        :param permit: what :meth:`acquire` returned
        :returns: a context with the record of this request in flight; its
            event ``stopped`` is set when the owner ends the stream early
        :raises RequestError: ``not_ready`` when the permit is too old, or
            this node may no longer take work; nothing was sent
        """
        key = (request.pool, request.shard, permit.permit)
        inflight = self._inflight.get(key)
        now = self._cluster.clock.monotonic()
        if inflight is None or now > inflight.usable_until:
            # its target may be leaving by now
            text = "the permit came too late to be used"
            raise RequestError.of(ErrorKind.NOT_READY, text)
        if not self._cluster.ready():
            text = "this instance can't confirm its configuration"
            raise RequestError.of(ErrorKind.NOT_READY, text)
        yield inflight

    def report_progress(self, inflight: Inflight, tokens: int) -> None:
        """Note tokens delivered; the owner is told in a batch.

        :param inflight: what :meth:`hold` gave
        :param tokens: delivered so far, in all
        """
        inflight.tokens = tokens

    def handle_stop(self, order: StopOrder) -> None:
        """End a stream early, as the owner orders.

        :param order: the owner's order; an unknown permit is no error
        """
        key = (order.pool, order.shard, order.permit)
        inflight = self._inflight.get(key)
        if inflight is not None:
            inflight.stop(order.retry_after)

    def name_request(self) -> str:
        """Return an identifier that no other request has."""
        return f"{self._cluster.holder}.{next(self._numbers)}"

    async def acquire(self, request: PermitRequest) -> PermitAnswer:
        """Get a permit.

        :param request: what is asked
        :returns: the permit and its target
        :raises RequestError: refused, or the owner can't be reached
        """
        owner = self._owner.find(request.pool, request.shard)
        if owner is None:
            raise RequestError.of(ErrorKind.NOT_READY, "no members yet")
        asked = self._cluster.clock.monotonic()
        try:
            answer = await self._ask(owner, request)
        except BaseException:
            await self._cancel(owner, request)
            raise
        if answer.error:
            hint = datetime.timedelta(seconds=answer.retry_after)
            kind = ErrorKind(answer.error)
            failure = Failure(kind, answer.message, retry_after=hint)
            raise RequestError(failure)
        key = (request.pool, request.shard, answer.permit)
        self._inflight[key] = Inflight(
            request=request,
            permit=answer,
            usable_until=asked + request.patience + PERMIT_SECONDS,
        )
        return answer

    def _mine(self, owner: Member) -> bool:
        return owner.node == self._cluster.identity.node

    async def _ask(
        self, owner: Member, request: PermitRequest
    ) -> PermitAnswer:
        if self._mine(owner):
            answer = self._owner.handle_permit(request)
            if isinstance(answer, PermitAnswer):
                return answer
            return await answer
        try:
            return await self._cluster.links.request(
                owner.peer_address, request, request.patience + LINK_SECONDS
            )
        except LinkError as error:
            text = f"the shard's owner does not answer: {error}"
            raise RequestError.of(ErrorKind.NOT_READY, text) from None

    async def _cancel(self, owner: Member, request: PermitRequest) -> None:
        report = CancelReport(
            self._cluster.peer_address,
            request.pool,
            request.shard,
            request.request,
        )
        if self._mine(owner):
            self._owner.handle_cancel(report)
            return
        with contextlib.suppress(LinkError):
            await self._cluster.links.send(owner.peer_address, report)

    async def release(self, report: ReleaseReport) -> None:
        """Tell the owner that a request ended.

        :param report: the permit and how it ended
        """
        key = (report.pool, report.shard, report.permit)
        self._inflight.pop(key, None)
        await self._tell(report)

    async def announce(
        self, announcement: Announcement, shard: int
    ) -> AnnounceAnswer:
        """Pass a target's announcement on to its owner.

        :param announcement: what the target said
        :param shard: the shard's number
        :returns: the owner's answer
        :raises RequestError: when the owner can't be reached
        """
        owner = self._owner.find(announcement.pool, shard)
        if owner is None:
            raise RequestError.of(ErrorKind.NOT_READY, "no members yet")
        if self._mine(owner):
            return await self._owner.handle_announcement(announcement)
        try:
            return await self._cluster.links.request(
                owner.peer_address, announcement, LINK_SECONDS
            )
        except LinkError as error:
            raise RequestError.of(
                ErrorKind.NOT_READY, f"owner does not answer: {error}"
            ) from None

    async def list_targets(self) -> list[Announcement]:
        """Collect the announcements that all owners hold."""
        request = TargetsRequest("")
        found: list[Announcement] = []
        for member in self._cluster.members():
            found += (await self._list_at(member, request)).targets
        return found

    async def _list_at(
        self, member: Member, request: TargetsRequest
    ) -> TargetsAnswer:
        if self._mine(member):
            return self._owner.handle_targets(request)
        try:
            return await self._cluster.links.request(
                member.peer_address, request, LINK_SECONDS
            )
        except LinkError:
            return TargetsAnswer(())
