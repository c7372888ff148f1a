"""The OriginRequest message."""

from chivepier.messages.registry import message


@message(187)
class OriginRequest:
    """Asks a voter where a stream began; see :class:`OriginRecord`."""

    team: str
    attempt: str
