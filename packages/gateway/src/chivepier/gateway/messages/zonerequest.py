"""The ZoneRequest message."""

from chivepier.messages.registry import message


@message(171)
class ZoneRequest:
    """Requests the leader to commit an order for an availability zone.

    ``base_index`` is the log index of the zone's last order known to the
    sender, 0 for none; the order is committed only if it is still the last.
    """

    zone: str
    evacuated: bool
    base_index: int
