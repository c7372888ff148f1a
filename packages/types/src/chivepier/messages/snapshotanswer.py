"""The SnapshotAnswer message."""

from chivepier.messages.registry import message


@message(6)
class SnapshotAnswer:
    """``offset``: bytes held so far."""

    term: int
    offset: int
