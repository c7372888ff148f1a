"""The AnnounceAnswer message."""

from chivepier.messages.registry import message


@message(91)
class AnnounceAnswer:
    """``interval``: seconds until the next announcement."""

    accepted: bool
    interval: float
