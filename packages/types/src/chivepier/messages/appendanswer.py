"""The AppendAnswer message."""

from chivepier.messages.registry import message


@message(4)
class AppendAnswer:
    """``last_index``: synced so far, or where to go back to."""

    term: int
    success: bool
    last_index: int
