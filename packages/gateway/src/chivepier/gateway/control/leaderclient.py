"""Client for requests to the leader."""

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
    """Sends requests to the leading voter, which may be this one.

    :param replica: this node's replica
    :param links: connections to the other voters
    """

    def __init__(self, replica: Replica, links: Links):
        self.replica = replica
        self._links = links

    async def request(
        self, request: typing.Any, seconds: float, handle: Handler
    ) -> typing.Any:
        """Send a request to the leader and return its answer.

        :param request: message to send
        :param seconds: timeout in seconds
        :param handle: answers the request if this voter leads
        :raises LinkError: if no leader is known or it does not answer
        :raises TimeoutError: if this voter leads and does not answer in time
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
        """Wait until everything committed before the call is applied here.

        :raises NotLeaderError: if this voter does not lead
        """
        machine = self.replica.machine
        index = await self.replica.read_barrier()
        while machine.index < index:
            await machine.changed.wait()
