"""Tests of what ends a forwarded answer once its body has begun."""

import pytest

from chivepier.gateway.forwarding.forwardedanswer import ForwardedAnswer
from chivepier.gateway.forwarding.forwardstate import ForwardState
from chivepier.gateway.messages import ForwardPart
from chivepier.gateway.serving import BrokenAnswerError
from chivepier.standins.playedloop import play_time

FIRST = ForwardPart(1, "open", status=200, data=b"first")


class ScriptedReader:
    """Brings parts, one a read."""

    def __init__(self, *parts: ForwardPart):
        self._parts = list(parts)
        self.offsets: list[int] = []

    async def read(self, offset: int) -> ForwardPart:
        """Return the next part."""
        self.offsets.append(offset)
        return self._parts.pop(0)

    def end(self) -> None:
        """Do nothing: there is no other entry."""


async def read_all(answer) -> tuple[bytes, bool]:
    """Return what was read, and whether it ended as whole."""
    data = b""
    try:
        while part := await answer.read():
            data += part
    except BrokenAnswerError:
        return data, False
    return data, True


@pytest.mark.parametrize("data", (b"", b"second"))
@pytest.mark.parametrize("state", ("refused", "failed", "broken"))
def test_error_of_an_entry_is_no_body_and_no_end(state, data):
    # Its kind and message, or its end, would be those of the body.
    async def test():
        last = ForwardPart(1, state, kind="draining", message="bad", data=data)
        reader = ScriptedReader(last)
        answer = ForwardedAnswer(reader, FIRST, lambda fields: True)
        assert await read_all(answer) == (b"first" + data, False)
        assert reader.offsets == [len(b"first")]

    play_time(test())


def test_head_that_is_told_again_changes_no_answer():
    # Parts bear the head until bytes of the body have arrived.
    async def test():
        head = ForwardPart(1, "open", status=200)
        again = ForwardPart(1, "open", status=500, data=b"first")
        last = ForwardPart(1, ForwardState.COMPLETE.value, framed=True)
        reader = ScriptedReader(again, last)
        answer = ForwardedAnswer(reader, head, lambda fields: True)
        data, is_whole = await read_all(answer)
        assert (answer.status, data, is_whole) == (200, b"", False)

    play_time(test())
