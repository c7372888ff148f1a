"""The ZoneRecord message."""

from chivepier.messages.registry import message


@message(169)
class ZoneRecord:
    """The last order of an availability zone.

    ``index`` is the order's index in the replicated log. ``age`` is the number
    of seconds since the sender learned of it, sent as an age because clocks of
    nodes differ.
    """

    zone: str
    index: int
    evacuated: bool
    age: float
