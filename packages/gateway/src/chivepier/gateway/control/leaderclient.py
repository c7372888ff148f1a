"""Asking the leader, wherever it is."""

import asyncio
import collections.abc
import typing

from chivepier.state import Replica
from chivepier.wire import LinkError
from chivepier.wire import Links

Handler = collections.abc.Callable[
    [typing.Any], collections.abc.Awaitable[typing.Any]
]


class LeaderClient:
    """Takes questions to the voter that leads, this one included.

    :param replica: this node's replica
    :param links: to the other voters
    """

    def __init__(self, replica: Replica, links: Links):
        self.replica = replica
        self._links = links

    async def request(
        self, request: typing.Any, seconds: float, handle: Handler
    ) -> typing.Any:
        """Have a request answered by the leader.

        :param request: a message
        :param seconds: to wait for the answer
        :param handle: answers it where this voter leads
        :raises LinkError: when no leader is known, or it does not answer
        :raises TimeoutError: when this voter leads and can't answer in time
        """
        if self.replica.leads():
            async with asyncio.timeout(seconds):
                return await handle(request)
        for voter in self.replica.voters:
            if voter.node == self.replica.leader:
                return await self._links.request(
                    voter.address, request, seconds
                )
        raise LinkError("no leader is known", sent=False)

    async def wait_for_commits(self) -> None:
        """Return once all that was committed before is applied here.

        :raises NotLeaderError: when this voter does not lead
        """
        machine = self.replica.machine
        index = await self.replica.read_barrier()
        while machine.index < index:
            await machine.changed.wait()
