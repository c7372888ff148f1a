"""The JoinRequest message."""

from chivepier.messages.registry import message


@message(158)
class JoinRequest:
    """Requests a vote for an instance with a disk."""

    node: str
    address: str
    cluster: str
