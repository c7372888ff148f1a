"""The SyncRequest message."""

from chivepier.messages.registry import message


@message(64)
class SyncRequest:
    """Fetch the committed state after ``index``."""

    index: int
