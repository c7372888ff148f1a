"""The ZoneAnswer message."""

from chivepier.messages.registry import message


@message(172)
class ZoneAnswer:
    """Whether an order is in the log; if not, the outcome is unknown.

    ``index`` is that of the zone's last order where another one than the
    asker knew stands in the log, and 0 else: then nothing was changed.
    """

    accepted: bool
    index: int = 0
