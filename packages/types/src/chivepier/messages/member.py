"""The Member message."""

from chivepier.messages.registry import message


@message(49)
class Member:
    """What an instance says of itself."""

    node: str
    incarnation: int
    name: str
    region: str
    zone: str
    address: str
    peer_address: str
    draining: bool
