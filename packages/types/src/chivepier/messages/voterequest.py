"""The VoteRequest message."""

from chivepier.messages.registry import message


@message(1)
class VoteRequest:
    """Ask for a vote; ``pre`` asks without raising the term."""

    term: int
    candidate: str
    last_index: int
    last_term: int
    pre: bool
    cluster: str = ""
    voter: str = ""
