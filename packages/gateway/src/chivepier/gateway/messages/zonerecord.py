"""The ZoneRecord message."""

from chivepier.messages.registry import message


@message(169)
class ZoneRecord:
    """An operator's last order about an availability zone.

    ``index`` is the order's place in the replicated log; ``age`` is for how
    long the sender has held it, in seconds, as clocks of nodes differ.
    """

    zone: str
    index: int
    evacuated: bool
    age: float
