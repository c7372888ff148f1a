"""The LogAnswer message."""

from chivepier.messages.registry import message


@message(75)
class LogAnswer:
    """How far a voter's log reaches; ``leader`` is whom it follows."""

    node: str
    last_term: int
    last_index: int
    leader: str
