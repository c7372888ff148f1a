"""The answer to a forwarded request, read from the entry that serves it."""

import collections.abc

import attrs

from chivepier.gateway.forwarding.forwardsession import NO_STATUS
from chivepier.gateway.forwarding.forwardstate import ForwardState
from chivepier.gateway.forwarding.partreader import PartReader
from chivepier.gateway.forwarding.records import unpack_headers
from chivepier.gateway.messages import ForwardPart
from chivepier.gateway.serving import AnswerFacts
from chivepier.gateway.serving import BrokenAnswerError
from chivepier.gateway.serving import declares_events
from chivepier.gateway.serving import is_coded
from chivepier.gateway.serving import may_be_events
from chivepier.wire import LinkError

IsSigned = collections.abc.Callable[[tuple[tuple[str, str], ...]], bool]


class ForwardedAnswer:
    """Reads an answer part by part; each read confirms what has arrived.

    Implements :class:`TargetAnswer`.

    :param reader: asks for the parts that follow
    :param part: the first part, with the head of the answer
    :param is_signed: tells whether a head bears the signature of a target
    """

    def __init__(
        self, reader: PartReader, part: ForwardPart, is_signed: IsSigned
    ):
        self.status = part.status
        self.headers = unpack_headers(part.headers)
        self.length = None if part.length < 0 else part.length
        # until its last part tells
        self.facts = AnswerFacts(
            vouched=True,
            signed=is_signed(self.headers),
            declares_events=declares_events(self.headers),
            may_be_events=may_be_events(self.headers),
            coded=is_coded(self.headers),
        )
        self._reader = reader
        self._offset = 0
        self._pending = b""
        self._state = ForwardState.OPEN
        self._take(part)

    async def read(self) -> bytes:
        """Return the next bytes of the body, empty at its end.

        Cancelling a read loses no data: what was not confirmed comes again.

        :raises BrokenAnswerError: when the body is incomplete
        """
        while not self._pending and self._state is ForwardState.OPEN:
            try:
                self._take(await self._reader.read(self._offset))
            except LinkError as error:
                self.close()
                raise BrokenAnswerError(str(error)) from None
        if not self._pending and self._state is not ForwardState.COMPLETE:
            raise BrokenAnswerError(f"the answer is {self._state.value}")
        data, self._pending = self._pending, b""
        return data

    def _take(self, part: ForwardPart) -> None:
        if part.status not in (NO_STATUS, self.status):
            # another head: what it came with is no more of this body
            self.close()
            return
        self._pending = part.data
        self._offset += len(part.data)
        self._state = ForwardState(part.state)
        if self._state is ForwardState.COMPLETE and part.framed:
            self.facts = attrs.evolve(self.facts, vouched=False)

    def close(self) -> None:
        """Tell the other entry that the rest is not wanted."""
        if self._state is ForwardState.OPEN:
            self._state = ForwardState.BROKEN
            self._reader.end()

    def release(self) -> None:
        """Do nothing: the other entry was told with the last part."""
