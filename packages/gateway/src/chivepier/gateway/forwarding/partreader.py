"""Reading a forwarded answer over the links that replace each other."""

import asyncio

from chivepier.gateway.forwarding.answerhandle import is_drawn
from chivepier.gateway.forwarding.forwardstate import ForwardState
from chivepier.gateway.messages import ForwardCancel
from chivepier.gateway.messages import ForwardPart
from chivepier.gateway.messages import ForwardRead
from chivepier.types import Clock
from chivepier.wire import Channel
from chivepier.wire import LinkError
from chivepier.wire import Links

# Seconds to wait for a part. The other entry answers within a part of this,
# also if there is nothing new; one that does not is frozen or cut off.
PART_SECONDS = 2.0
# Links over which one part is asked for: two that fall silent in a row, and
# one more. Without a bound, a peer that accepts links and closes them at once
# would be connected to again and again.
MAX_LINKS = 4


class PartReader:
    """Asks for parts of an answer; a read lost with its link is repeated.

    Reads name their offset, so that the same part may be asked for twice: over
    a link that has gone silent, and over the one that replaces it. The first
    answer counts; what the other link brings later is ignored.

    :param links: links to other entries
    :param address: address of the entry that serves the request
    :param channel: the link that the request was sent over
    :param handle: number of the answer at that entry
    :param clock: source of monotonic time
    """

    def __init__(
        self,
        links: Links,
        address: str,
        channel: Channel,
        handle: int,
        clock: Clock,
    ):
        self._links = links
        self._address = address
        self._channel = channel
        self._handle = handle
        self._clock = clock

    async def read(self, offset: int) -> ForwardPart:
        """Return the part at an offset.

        :param offset: number of bytes of the body that have arrived
        :raises LinkError: when the other entry is lost
        """
        message = ForwardRead(self._handle, offset)
        reads: list[asyncio.Task] = []
        seconds = PART_SECONDS
        try:
            while True:
                channel = await self._find_channel(seconds)
                sent = self._clock.monotonic()
                reads.append(
                    asyncio.create_task(channel.request(message, PART_SECONDS))
                )
                try:
                    part = await self._wait(reads, channel)
                except LinkError:
                    seconds = sent + PART_SECONDS - self._clock.monotonic()
                    is_lost = seconds <= 0 or len(reads) >= MAX_LINKS
                    if is_lost or not self._must_move(channel):
                        raise
                else:
                    return self.take(part)
        finally:
            for read in reads:
                if not read.done():
                    read.cancel()
                elif not read.cancelled():
                    # mark it as retrieved
                    read.exception()

    def take(self, part: ForwardPart) -> ForwardPart:
        """Return a part; the other entry need not keep what has ended.

        :param part: the part that has arrived
        """
        has_ended = ForwardState(part.state) is not ForwardState.OPEN
        # one of an earlier release would cancel what it does after an answer
        if has_ended and is_drawn(self._handle):
            self.end()
        return part

    def end(self) -> None:
        """Tell the other entry that nothing more will be read."""
        if is_drawn(self._handle):
            self._links.post(self._address, ForwardCancel(self._handle))
        else:
            self._channel.send(ForwardCancel(self._handle))

    async def _find_channel(self, seconds: float) -> Channel:
        if self._must_move(self._channel):
            self._channel = await self._links.connect(self._address, seconds)
        return self._channel

    def _must_move(self, channel: Channel) -> bool:
        is_left = channel.closed or channel.replaced
        return is_left and is_drawn(self._handle)

    async def _wait(
        self, reads: list[asyncio.Task], channel: Channel
    ) -> ForwardPart:
        """Return what the first of several equal reads brings.

        :raises LinkError: when the last one failed, or its link was replaced
        """
        if not is_drawn(self._handle):
            return await reads[-1]
        replacement = channel.watch_replacement()
        while True:
            for read in reads:
                if read.done() and read.exception() is None:
                    return read.result()
            if reads[-1].done():
                return reads[-1].result()
            if replacement.done():
                text = f"link to {channel.peer} was replaced"
                raise LinkError(text, sent=True)
            waiting = {read for read in reads if not read.done()}
            await asyncio.wait(
                waiting | {replacement}, return_when=asyncio.FIRST_COMPLETED
            )
