"""The requests that wait for a shard's decision."""

import asyncio
import collections.abc

import attrs

from chivepier.messages import PermitRequest


@attrs.frozen(eq=False)
class WaitingRequest:
    """What an entry asks, and the future of its answer."""

    request: PermitRequest
    future: asyncio.Future


class WaitingRequests:
    """Requests without an answer, by name, in order of arrival."""

    def __init__(self) -> None:
        self._waiting: dict[str, WaitingRequest] = {}

    def __iter__(self) -> collections.abc.Iterator[PermitRequest]:
        return iter([waiting.request for waiting in self._waiting.values()])

    def add(self, request: PermitRequest) -> asyncio.Future:
        """Let a request wait.

        :param request: what the entry asks
        :returns: a future of the answer
        """
        future = asyncio.get_running_loop().create_future()
        self._waiting[request.request] = WaitingRequest(request, future)
        return future

    def pop(self, request: str) -> WaitingRequest | None:
        """Take out a request that is to be answered.

        :param request: its name
        :returns: ``None`` when nobody waits for the answer any more
        """
        waiting = self._waiting.pop(request, None)
        if waiting is None or waiting.future.done():
            return None
        return waiting

    def cancel(self, request: str) -> None:
        """Drop a request.

        :param request: its name; an unknown one is no error
        """
        waiting = self.pop(request)
        if waiting is not None:
            waiting.future.cancel()
