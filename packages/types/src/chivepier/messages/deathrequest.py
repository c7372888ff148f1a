"""The DeathRequest message."""

from chivepier.messages.registry import message


@message(106)
class DeathRequest:
    """Ask a member to see for itself whether a run of another has ended."""

    node: str
    incarnation: int
