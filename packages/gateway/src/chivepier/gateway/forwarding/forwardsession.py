"""The answer to a forwarded request, until the other entry has read it."""

import asyncio

from chivepier.gateway.forwarding.forwardstate import ForwardState
from chivepier.gateway.forwarding.records import pack_failure
from chivepier.gateway.forwarding.records import pack_headers
from chivepier.gateway.messages import ForwardPart
from chivepier.gateway.serving import CONTINUED_STATUS
from chivepier.types import Clock
from chivepier.types import ErrorKind
from chivepier.types import Failure
from chivepier.types import Ran
from chivepier.types import RequestError
from chivepier.types import Signal

# Stands for a length that isn't known.
NO_LENGTH = -1
# Stands for a head that isn't known yet, or was told before.
NO_STATUS = 0
# Bytes of the body that are kept for the other entry; the target waits when
# it reads more slowly.
MAX_BUFFERED_BYTES = 128 << 10


class ForwardSession:
    """Keeps what was not read yet; implements :class:`CallerConnection`.

    :param handle: identifies the answer on this entry
    :param entry: name of the entry that reads it
    :param clock: source of monotonic time
    :param is_rest: whether that entry takes any status for the rest of a
        stream that its caller has begun to read
    :ivar read_at: monotonic time of the last read, in seconds
    :ivar task: serves the request
    """

    def __init__(
        self, handle: int, entry: str, clock: Clock, is_rest: bool = False
    ):
        self.handle = handle
        self.entry = entry
        self.read_at = clock.monotonic()
        self.task: asyncio.Task | None = None
        self._clock = clock
        self._is_rest = is_rest
        self._state = ForwardState.OPEN
        self._framed = False
        self._failure: Failure | None = None
        self._reason = ""
        self._status: int | None = None
        self._headers: tuple[tuple[str, str], ...] = ()
        self._length: int | None = None
        self._data = bytearray()
        self._start = 0
        self._changed = Signal()
        self._drained = Signal()

    @property
    def is_ended(self) -> bool:
        """Whether all of the answer is known."""
        return self._state is not ForwardState.OPEN

    @property
    def begun(self) -> bool:
        """Whether the head of the answer is known."""
        return self._status is not None

    async def begin(
        self,
        status: int,
        headers: tuple[tuple[str, str], ...],
        length: int | None,
    ) -> None:
        """Keep the head of the answer.

        :raises RequestError: if it would be taken for what it is not
        :raises RuntimeError: if there is one: the other entry may have it
        """
        if self.begun:
            raise RuntimeError("the answer has begun")
        if self._is_rest and status != CONTINUED_STATUS:
            text = f"no rest of the stream: {status}"
            raise RequestError.of(ErrorKind.TARGET_FAILED, text, Ran.UNKNOWN)
        self._status, self._headers = status, headers
        self._length = length
        self._changed.set()

    async def write(self, data: bytes) -> None:
        """Keep a part of the body, once there is room for it."""
        while len(self._data) >= MAX_BUFFERED_BYTES:
            await self._drained.wait()
        self._data += data
        self._changed.set()

    async def finish(self, framed: bool) -> None:
        """End the answer as complete, and keep what told its end."""
        self._framed = framed
        self._end(ForwardState.COMPLETE)

    def abort(self) -> None:
        """End the answer as incomplete, unless it has ended."""
        if self._state is ForwardState.OPEN:
            self._end(ForwardState.BROKEN)

    def refuse(self, reason: str) -> None:
        """End the answer, as the request was not taken."""
        if self._may_answer():
            self._reason = reason
            self._end(ForwardState.REFUSED)

    def fail(self, failure: Failure) -> None:
        """End the answer with an error of this entry."""
        if self._may_answer():
            self._failure = failure
            self._end(ForwardState.FAILED)

    def _may_answer(self) -> bool:
        """Tell whether an error can be the answer; else break off its body.

        The other entry would drop events that it has not read, or take what
        has run for what has not, and send it elsewhere.
        """
        if self.begun:
            self.abort()
        return not self.begun

    def _end(self, state: ForwardState) -> None:
        self._state = state
        self._changed.set()

    async def read(self, offset: int, seconds: float) -> ForwardPart:
        """Return what follows an offset, or nothing new after a time.

        What was not read may be asked for again, what was read may not: a read
        that others have overtaken is answered as broken off.

        :param offset: number of bytes that have arrived at the other entry
        :param seconds: longest wait, in seconds
        """
        if offset > self._start + len(self._data):
            return ForwardPart(self.handle, ForwardState.BROKEN.value)
        self.read_at = self._clock.monotonic()
        del self._data[: max(0, offset - self._start)]
        self._start = max(self._start, offset)
        self._drained.set()
        if not self._data and self._state is ForwardState.OPEN:
            await self._changed.wait(seconds)
        self.read_at = self._clock.monotonic()
        if self._failure is not None:
            return pack_failure(self.handle, self._failure)
        if offset < self._start:
            return ForwardPart(self.handle, ForwardState.BROKEN.value)
        first = offset == 0
        return ForwardPart(
            self.handle,
            self._state.value,
            status=self._status if first and self.begun else NO_STATUS,
            headers=pack_headers(self._headers) if first else (),
            message=self._reason,
            length=NO_LENGTH if self._length is None else self._length,
            data=bytes(self._data),
            framed=self._framed,
        )
