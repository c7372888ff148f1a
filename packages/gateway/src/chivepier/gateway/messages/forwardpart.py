"""The ForwardPart message."""

from chivepier.gateway.messages.headerfield import HeaderField
from chivepier.messages.registry import message


@message(184)
class ForwardPart:
    """A part of the answer to a forwarded request.

    ``handle`` identifies the answer at the entry that serves it, and ``state``
    is the value of a :class:`ForwardState`. ``status``, ``headers`` and
    ``length`` are the head of the answer; ``status`` is 0 until it is known
    and in later parts, ``length`` -1 if unknown. ``data`` are the next bytes
    of the body. ``kind``, ``ran``, ``message`` and ``retry_after`` describe
    a failure; ``retry_after`` is in seconds, -1 if there is none. ``framed``
    tells, with the state of a complete answer, that the length or the chunks
    of a target told its end, and not its word alone; entries of earlier
    releases don't tell.
    """

    handle: int
    state: str
    status: int = 0
    headers: tuple[HeaderField, ...] = ()
    length: int = -1
    data: bytes = b""
    kind: str = ""
    ran: str = ""
    message: str = ""
    retry_after: float = -1.0
    framed: bool = False
