"""The targets' announcements, from an entry to the owners and back."""

import asyncio

from chivepier.messages import AnnounceAnswer
from chivepier.messages import Announcement
from chivepier.messages import DeputyAnnouncement
from chivepier.messages import Member
from chivepier.messages import TargetsAnswer
from chivepier.messages import TargetsRequest
from chivepier.node.cluster import Cluster
from chivepier.node.owner import Owner
from chivepier.node.ownerchoice import MOVE_POLL_SECONDS
from chivepier.node.ownerchoice import OwnerChoice
from chivepier.types import ErrorKind
from chivepier.types import RequestError
from chivepier.wire import LinkError

LIST_SECONDS = 2.0
ANSWER_SECONDS = 1.0
ACCEPT_SECONDS = 1.5


class TargetRelay:
    """Passes announcements on, and collects what the owners hold.

    :param choice: whom to tell
    """

    def __init__(self, cluster: Cluster, owner: Owner, choice: OwnerChoice):
        self._cluster = cluster
        self._owner = owner
        self._choice = choice

    async def announce(
        self, announcement: Announcement, shard: int
    ) -> AnnounceAnswer:
        """Pass a target's announcement on to its owner.

        :param announcement: what the target said
        :param shard: the shard's number
        :returns: the owner's answer
        :raises RequestError: ``not_ready`` when no owner took it
        """
        clock = self._cluster.clock
        end = clock.monotonic() + ACCEPT_SECONDS
        while True:
            owner, rank = self._choice.find(announcement.pool, shard)
            answer = await self._announce_at(owner, rank, announcement)
            if answer.accepted:
                return answer
            if clock.monotonic() > end:
                text = "no owner took the announcement"
                raise RequestError.of(ErrorKind.NOT_READY, text)
            await clock.sleep(MOVE_POLL_SECONDS)

    async def _announce_at(
        self, owner: Member, rank: int, announcement: Announcement
    ) -> AnnounceAnswer:
        message = announcement
        if rank:
            message = DeputyAnnouncement(announcement, rank)
        if self._choice.is_here(owner):
            if rank:
                return self._owner.handle_deputy(message)
            return self._owner.handle_announcement(message)
        try:
            return await self._cluster.links.request(
                owner.peer_address, message, ANSWER_SECONDS
            )
        except LinkError:
            self._choice.unreachable.add(owner)
            await self._cluster.dead.check(owner)
            return AnnounceAnswer(False, 0.0)

    async def list_targets(self) -> list[Announcement]:
        """Collect the announcements that all owners hold."""
        request = TargetsRequest("")
        answers = await asyncio.gather(
            *(self._list_at(m, request) for m in self._cluster.members())
        )
        return [target for answer in answers for target in answer.targets]

    async def _list_at(
        self, member: Member, request: TargetsRequest
    ) -> TargetsAnswer:
        if self._choice.is_here(member):
            return self._owner.handle_targets(request)
        try:
            return await self._cluster.links.request(
                member.peer_address, request, LIST_SECONDS
            )
        except LinkError:
            return TargetsAnswer(())
