"""The ZoneRequest message."""

from chivepier.messages.registry import message


@message(171)
class ZoneRequest:
    """Commit an order about an availability zone, asked of the leader.

    ``base`` is the log index of the order that its receiver knew of this
    zone, 0 for none: it is carried out only if that is still the last one.
    """

    zone: str
    evacuated: bool
    base_index: int
