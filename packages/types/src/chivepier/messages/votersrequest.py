"""The VotersRequest message."""

from chivepier.messages.registry import message


@message(70)
class VotersRequest:
    """Ask the leader to ``add``, ``remove`` or ``list`` voters."""

    action: str
    peer: str
    node: str
