"""Asking a shard's owner for permits, and about them."""

import contextlib

import attrs

from chivepier.messages import CancelReport
from chivepier.messages import ConfirmRequest
from chivepier.messages import Member
from chivepier.messages import PermitAnswer
from chivepier.messages import PermitRequest
from chivepier.node.cluster import Cluster
from chivepier.node.owner import Owner
from chivepier.node.ownerchoice import OwnerChoice
from chivepier.types import RequestError
from chivepier.wire import LinkError

LINK_SECONDS = 2.0
PERMIT_SECONDS = 1.0


class PermitAsking:
    """Puts one question at a time to the owner, here or over a link.

    :param choice: whom to ask
    """

    def __init__(self, cluster: Cluster, owner: Owner, choice: OwnerChoice):
        self._cluster = cluster
        self._owner = owner
        self._choice = choice

    async def ask(self, request: PermitRequest) -> PermitAnswer | None:
        """Ask once for a permit.

        :param request: what is asked
        :returns: ``None`` when another member is to be asked now
        :raises RequestError: ``not_ready`` when there is nobody to ask
        """
        owner, rank = self._choice.find(request.pool, request.shard)
        request = attrs.evolve(request, rank=rank)
        try:
            return await self._ask_member(owner, request)
        except LinkError:
            if self._choice.has_rank(owner, request):
                self._choice.unreachable.add(owner)
            await self._cancel(owner, request)
            await self._cluster.dead.check(owner)
            return None
        except BaseException:
            await self._cancel(owner, request)
            raise

    async def _ask_member(
        self, owner: Member, request: PermitRequest
    ) -> PermitAnswer:
        if not self._choice.is_here(owner):
            return await self._ask_remote(owner, request)
        answer = self._owner.handle_permit(request)
        if isinstance(answer, PermitAnswer):
            return answer
        return await answer

    async def _ask_remote(
        self, owner: Member, request: PermitRequest
    ) -> PermitAnswer:
        def moved() -> bool:
            return not self._choice.has_rank(owner, request)

        async with self._cluster.watch.watch(owner.peer_address, moved):
            return await self._cluster.links.request(
                owner.peer_address, request, request.patience + LINK_SECONDS
            )

    async def _cancel(self, owner: Member, request: PermitRequest) -> None:
        report = CancelReport(
            self._cluster.peer_address,
            request.pool,
            request.shard,
            request.request,
        )
        if self._choice.is_here(owner):
            self._owner.handle_cancel(report)
            return
        with contextlib.suppress(LinkError):
            await self._cluster.links.send(owner.peer_address, report)

    async def confirm(self, request: PermitRequest, permit: int) -> bool:
        """Ask whether a permit may still be used.

        :param request: what it was given for
        :param permit: its number
        :returns: false also when its giver can't be asked
        """
        question = ConfirmRequest(request.pool, request.shard, permit)
        try:
            owner = self._choice.find_giver(request, permit)
            if self._choice.is_here(owner):
                return self._owner.handle_confirm(question).valid
            answer = await self._cluster.links.request(
                owner.peer_address, question, PERMIT_SECONDS
            )
        except (LinkError, RequestError):
            return False
        return answer.valid
