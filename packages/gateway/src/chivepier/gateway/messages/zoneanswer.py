"""The ZoneAnswer message."""

from chivepier.messages.registry import message


@message(172)
class ZoneAnswer:
    """Answer to a :class:`ZoneRequest`; if not accepted, outcome unknown.

    A nonzero ``index`` means that nothing was changed because the request's
    base is outdated; it is the log index of the zone's last order.
    """

    accepted: bool
    index: int = 0
