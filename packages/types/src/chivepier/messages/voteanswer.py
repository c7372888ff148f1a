"""The VoteAnswer message."""

from chivepier.messages.registry import message


@message(2)
class VoteAnswer:
    """Answer to :class:`VoteRequest`."""

    term: int
    granted: bool
