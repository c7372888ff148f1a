"""Limiting the memory of buffered answers."""

import asyncio
import collections

import attrs

from chivepier.gateway.serving.answerallocation import AnswerAllocation
from chivepier.gateway.serving.bodymemory import SCARCE_SHARE
from chivepier.gateway.serving.errors import BrokenAnswerError

# Bytes that each answer may take whatever the others have: most answers are
# far smaller.
FREE_BYTES = 64 << 10
# Part of what is left that one answer may take beyond these.
MAX_SHARE = 1 / 16


@attrs.define
class AnswerMemory:
    """Limits what answers take that are read whole before they are passed on.

    An answer may go on without end. It may take a part of what is left only,
    so that several such answers leave room for others.

    >>> memory = AnswerMemory(1 << 20)
    >>> answer = asyncio.run(memory.open())
    >>> answer.extend(100 << 10)
    >>> memory.used_bytes == 100 << 10
    True
    >>> answer.close()
    >>> memory.used_bytes
    0

    :param max_bytes: maximum size of all answers, but for the free bytes of
        those whose length is not known
    :param used_bytes: current total size of all answers
    """

    max_bytes: int
    used_bytes: int = 0
    _waiting: collections.deque[tuple[int, asyncio.Future]] = attrs.field(
        factory=collections.deque
    )

    @property
    def is_scarce(self) -> bool:
        """Whether there is little left, or answers wait for it."""
        scarce = self.used_bytes > SCARCE_SHARE * self.max_bytes
        return scarce or bool(self._waiting)

    async def open(self, length: int | None = None) -> AnswerAllocation:
        """Return the allocation of one answer, to be closed at its end.

        :param length: size of the answer in bytes, if it is known; its free
            bytes are there for it then, once there is room
        """
        reserved = min(length or 0, FREE_BYTES)
        if reserved and (self._waiting or not self._has_room(reserved)):
            await self._wait_for_room(reserved)
        else:
            self.used_bytes += reserved
        return AnswerAllocation(self._resize, reserved)

    async def _wait_for_room(self, reserved: int) -> None:
        """Wait until there is room, after all that wait already."""
        granted = asyncio.get_running_loop().create_future()
        self._waiting.append((reserved, granted))
        try:
            await granted
        except asyncio.CancelledError:
            if not granted.cancelled():
                self.used_bytes -= reserved
            self._grant()
            raise

    def _has_room(self, reserved: int) -> bool:
        return self.used_bytes + reserved <= self.max_bytes

    def _grant(self) -> None:
        """Let those that have waited for longest begin, as there is room."""
        while self._waiting:
            reserved, granted = self._waiting[0]
            if not granted.done():
                if not self._has_room(reserved):
                    return
                self.used_bytes += reserved
                granted.set_result(None)
            self._waiting.popleft()

    def _resize(self, before: int, after: int) -> None:
        left = max(0, self.max_bytes - (self.used_bytes - before))
        if after > max(before, FREE_BYTES + MAX_SHARE * left):
            raise BrokenAnswerError(f"the answer has more than {before} bytes")
        self.used_bytes += after - before
        if after < before:
            self._grant()
