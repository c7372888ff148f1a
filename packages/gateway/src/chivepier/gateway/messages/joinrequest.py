"""The JoinRequest message."""

from chivepier.messages.registry import message


@message(158)
class JoinRequest:
    """An instance with a disk and no vote asks to be a voter."""

    node: str
    address: str
    cluster: str
