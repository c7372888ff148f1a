"""Whether the part of a stream that one target sent is all of it."""

import enum

from chivepier.gateway.serving.bodyend import BodyEnd
from chivepier.gateway.serving.endcause import EndCause


class StreamEnd(enum.Enum):
    """Whether the answer of the target was complete or truncated."""

    COMPLETE = "whole"
    TRUNCATED = "cut"


def judge_end(end: BodyEnd) -> StreamEnd:
    """Tell whether a body is the whole answer of its target.

    :param end: how the body has ended
    """
    match end.cause:
        case EndCause.FRAMING | EndCause.CLOSE:
            return StreamEnd.COMPLETE
        case EndCause.BREAK | EndCause.TIMEOUT:
            return StreamEnd.TRUNCATED
