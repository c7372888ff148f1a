"""Whether the part of a stream that one target sent is all of it."""

import enum

from chivepier.gateway.serving.bodyend import BodyEnd
from chivepier.gateway.serving.endcause import EndCause
from chivepier.gateway.serving.eventsplitter import is_unfinished


class StreamEnd(enum.Enum):
    """Whether the answer of the target was complete or truncated."""

    COMPLETE = "whole"
    TRUNCATED = "cut"


def judge_end(end: BodyEnd) -> StreamEnd:
    """Tell whether a body is the whole answer of its target.

    >>> judge_end(BodyEnd(EndCause.CLOSE, 1, b"id: 2\\nda"))
    <StreamEnd.TRUNCATED: 'cut'>

    :param end: how the body has ended
    """
    match end:
        case BodyEnd(contradicted=True) | BodyEnd(foreign=True):
            return StreamEnd.TRUNCATED
        case BodyEnd(cause=EndCause.FRAMING):
            return StreamEnd.COMPLETE
        case BodyEnd(cause=EndCause.CLOSE, events=0, follows=False):
            return StreamEnd.TRUNCATED
        # a target that fails closes its connection as one that has finished
        case BodyEnd(cause=EndCause.CLOSE, remainder=rest):
            unfinished = is_unfinished(rest)
            return StreamEnd.TRUNCATED if unfinished else StreamEnd.COMPLETE
        case _:
            return StreamEnd.TRUNCATED
