"""The PeerRecord message."""

from chivepier.messages.registry import message


@message(180)
class PeerRecord:
    """An entry that can serve requests that others forward to it.

    ``address`` is where other entries reach it, ``unreachable`` are the
    services whose targets it does not reach itself, and ``weight`` is its
    share of what is forwarded.
    """

    node: str
    address: str
    zone: str
    unreachable: tuple[str, ...]
    weight: int
