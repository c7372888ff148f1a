"""Permits, on the entry's side."""

import collections.abc
import contextlib
import datetime
import itertools

import attrs

from chivepier.messages import AdoptRequest
from chivepier.messages import AnnounceAnswer
from chivepier.messages import Announcement
from chivepier.messages import InflightPermit
from chivepier.messages import InflightReport
from chivepier.messages import InflightRequest
from chivepier.messages import PermitAnswer
from chivepier.messages import PermitOutcome
from chivepier.messages import PermitRequest
from chivepier.messages import ReleaseReport
from chivepier.messages import StopOrder
from chivepier.messages import TakeoverAnswer
from chivepier.messages import TakeoverRequest
from chivepier.node.cluster import Cluster
from chivepier.node.inflight import Inflight
from chivepier.node.owner import Owner
from chivepier.node.ownerchoice import MOVE_POLL_SECONDS
from chivepier.node.ownerchoice import OWNER_RETRY
from chivepier.node.ownerchoice import OwnerChoice
from chivepier.node.ownerreports import OwnerReports
from chivepier.node.permitasking import LINK_SECONDS
from chivepier.node.permitasking import PERMIT_SECONDS
from chivepier.node.permitasking import PermitAsking
from chivepier.node.seentargets import SeenTargets
from chivepier.node.targetrelay import TargetRelay
from chivepier.types import ErrorKind
from chivepier.types import Failure
from chivepier.types import RequestError
from chivepier.wire import LinkError

CONFIRM_AFTER_SECONDS = 0.5
MOVE_SECONDS = 2.0


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
        self._seen = SeenTargets(cluster.clock)
        self._choice = OwnerChoice(cluster, owner)
        self._asking = PermitAsking(cluster, owner, self._choice)
        self._reports = OwnerReports(
            cluster, owner, self._choice, self._inflight
        )
        self._relay = TargetRelay(cluster, owner, self._choice)

    async def run(self) -> None:
        """Report progress for as long as the node lives."""
        await self._reports.run()

    async def send_progress(self) -> None:
        """Tell each shard's owner how far its requests are, at once."""
        await self._reports.send_progress()

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
        clock = self._cluster.clock
        start = clock.monotonic()
        while True:
            asked = clock.monotonic()
            epoch = self._cluster.machine.epoch
            left = max(0.0, request.patience - (asked - start))
            answer = await self._asking.ask(
                attrs.evolve(request, patience=left)
            )
            if answer is None:
                continue
            if not answer.error:
                if await self._take(request, answer, asked, epoch):
                    return answer
            elif answer.error != ErrorKind.NOT_READY.value:
                raise _refusal(answer)
            elif clock.monotonic() - start > MOVE_SECONDS:
                raise _refusal(answer)
            # the shard moves, or the permit came too late: ask again
            await clock.sleep(MOVE_POLL_SECONDS)

    async def _take(
        self,
        request: PermitRequest,
        answer: PermitAnswer,
        asked: float,
        epoch: int,
    ) -> bool:
        """Write a permit down, unless it came too late to be used.

        A grant that was held up on a link is no sign that its target still
        stays, nor that the owner still counts it.  One that was asked for
        just now is, unless the members changed since: a new owner may have
        heard from here what is in flight, without it.  For the others the
        owner is asked once more.
        """
        clock = self._cluster.clock
        inflight = Inflight(
            request=request,
            permit=answer,
            usable_until=asked + PERMIT_SECONDS,
        )
        key = (request.pool, request.shard, answer.permit)
        self._inflight[key] = inflight
        soon = clock.monotonic() - asked <= CONFIRM_AFTER_SECONDS
        if soon and self._cluster.machine.epoch == epoch:
            return True
        asked = clock.monotonic()
        if await self._asking.confirm(request, answer.permit):
            inflight.usable_until = asked + PERMIT_SECONDS
            return True
        await self.release(
            ReleaseReport(
                self._cluster.peer_address,
                request.pool,
                request.shard,
                answer.permit,
                0,
                int(PermitOutcome.NOT_RUN),
            )
        )
        return False

    async def adopt(
        self,
        request: PermitRequest,
        target: str,
        tokens: int,
        permit: int = 0,
    ) -> PermitAnswer:
        """Count a generation that is resumed here, without admission.

        Its first entry may be gone; until the owner knows of the new one,
        it counts the generation as lost and sends stop orders in vain.  A
        permit that was granted here, and whose first stream may still
        linger, stays as it is.  Release the permit as any other.

        :param request: who resumes; its estimates are used for the rest
        :param target: where the generation runs
        :param tokens: how far it is
        :param permit: the number under which it was started, 0 if unknown
        :returns: the permit
        :raises RequestError: ``not_ready`` when the owner can't be reached
        """
        own = self._inflight.get((request.pool, request.shard, permit))
        if own is not None:
            return self._share(own)
        owner, rank = self._choice.find(request.pool, request.shard)
        request = attrs.evolve(request, rank=rank)
        question = AdoptRequest(request, target, tokens, permit)
        try:
            if self._choice.is_here(owner):
                answer = self._owner.handle_adopt(question)
            else:
                answer = await self._cluster.links.request(
                    owner.peer_address, question, LINK_SECONDS
                )
        except LinkError as error:
            self._choice.unreachable.add(owner)
            raise _unreachable(error) from None
        if answer.error:
            raise _refusal(answer)
        key = (request.pool, request.shard, answer.permit)
        if key in self._inflight:
            # another resumption of it was on its way meanwhile
            return self._share(self._inflight[key])
        now = self._cluster.clock.monotonic()
        self._inflight[key] = Inflight(
            request=request,
            permit=answer,
            usable_until=now + PERMIT_SECONDS,
            tokens=tokens,
        )
        return answer

    def _share(self, inflight: Inflight) -> PermitAnswer:
        inflight.users += 1
        now = self._cluster.clock.monotonic()
        inflight.usable_until = now + PERMIT_SECONDS
        return inflight.permit

    def handle_inflight(self, request: InflightRequest) -> InflightReport:
        """Tell an owner all that is in flight here in its shard."""
        permits = self._list_inflight(request.pool, request.shard)
        return InflightReport(
            self._cluster.holder, request.pool, request.shard, permits
        )

    def handle_takeover(self, request: TakeoverRequest) -> TakeoverAnswer:
        """Tell a new owner what is in flight, and the targets seen."""
        holder = self._cluster.holder
        if self._cluster.machine.epoch < request.epoch:
            # a grant of the earlier owner could still be taken here
            return TakeoverAnswer(holder, False, (), ())
        permits = self._list_inflight(request.pool, request.shard)
        targets = self._seen.list_pool(request.pool)
        return TakeoverAnswer(holder, True, permits, targets)

    def _list_inflight(
        self, pool: str, shard: int
    ) -> tuple[InflightPermit, ...]:
        return tuple(
            inflight.describe()
            for (p, s, _), inflight in self._inflight.items()
            if (p, s) == (pool, shard)
        )

    async def release(self, report: ReleaseReport) -> None:
        """Tell the owner that a request ended.

        Where several streams here read one generation, the last one tells.

        :param report: the permit and how it ended
        """
        key = (report.pool, report.shard, report.permit)
        inflight = self._inflight.get(key)
        if inflight is not None and inflight.users > 1:
            inflight.users -= 1
            return
        self._inflight.pop(key, None)
        await self._reports.send_release(report)

    async def announce(
        self, announcement: Announcement, shard: int
    ) -> AnnounceAnswer:
        """Pass a target's announcement on to its owner.

        :param announcement: what the target said
        :param shard: the shard's number
        :returns: the owner's answer
        :raises RequestError: ``not_ready`` when no owner took it
        """
        self._seen.note(announcement)
        return await self._relay.announce(announcement, shard)

    async def list_targets(self) -> list[Announcement]:
        """Collect the announcements that all owners hold."""
        return await self._relay.list_targets()


def _refusal(answer: PermitAnswer) -> RequestError:
    hint = datetime.timedelta(seconds=answer.retry_after)
    kind = ErrorKind(answer.error)
    return RequestError(Failure(kind, answer.message, retry_after=hint))


def _unreachable(error: LinkError) -> RequestError:
    text = f"the shard's owner does not answer: {error}"
    return RequestError(
        Failure(ErrorKind.NOT_READY, text, retry_after=OWNER_RETRY)
    )
