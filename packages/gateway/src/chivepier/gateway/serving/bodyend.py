"""How the body of one target's answer has ended."""

import attrs

from chivepier.gateway.serving.endcause import EndCause


@attrs.frozen
class BodyEnd:
    """What is known of the end of a stream's body.

    :param cause: what ended it
    :param events: number of events in it
    :param remainder: bytes after the last event that was terminated
    :param follows: whether the caller had events before this body, and the
        one before it had ended as a whole one without a length may
    :param foreign: whether it went on with what is no part of the series; it
        broke off before that
    :param contradicted: whether an earlier body had begun an event that the
        caller lacks, and of which this one has nothing
    """

    cause: EndCause
    events: int
    remainder: bytes
    follows: bool = False
    contradicted: bool = False
    foreign: bool = False
