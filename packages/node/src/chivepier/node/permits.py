"""Permits, on the entry's side."""

import contextlib
import datetime
import itertools

from chivepier.messages import AnnounceAnswer
from chivepier.messages import Announcement
from chivepier.messages import CancelReport
from chivepier.messages import Member
from chivepier.messages import PermitAnswer
from chivepier.messages import PermitRequest
from chivepier.messages import ReleaseReport
from chivepier.messages import TargetsAnswer
from chivepier.messages import TargetsRequest
from chivepier.node.cluster import Cluster
from chivepier.node.owner import Owner
from chivepier.types import ErrorKind
from chivepier.types import Failure
from chivepier.types import RequestError
from chivepier.wire import LinkError

LINK_SECONDS = 2.0


class Permits:
    """Asks owners for permits and tells them how requests ended."""

    def __init__(self, cluster: Cluster, owner: Owner):
        self._cluster = cluster
        self._owner = owner
        self._numbers = itertools.count(1)

    def name_request(self) -> str:
        """Return an identifier that no other request has."""
        cluster = self._cluster
        number = next(self._numbers)
        return f"{cluster.identity.node}.{cluster.incarnation}.{number}"

    async def acquire(self, request: PermitRequest) -> PermitAnswer:
        """Get a permit.

        :param request: what is asked
        :returns: the permit and its target
        :raises RequestError: refused, or the owner can't be reached
        """
        owner = self._owner.find(request.pool, request.shard)
        if owner is None:
            raise RequestError.of(ErrorKind.NOT_READY, "no members yet")
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
        owner = self._owner.find(report.pool, report.shard)
        if owner is None:
            return
        if self._mine(owner):
            self._owner.handle_release(report)
            return
        await self._cluster.links.send(owner.peer_address, report)

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
