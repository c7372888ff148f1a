"""The VoteAnswer message."""

from chivepier.types.messages.registry import message


@message(2)
class VoteAnswer:
    """Answer to :class:`VoteRequest`."""

    term: int
    granted: bool
