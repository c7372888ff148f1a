"""The JoinAnswer message."""

from chivepier.messages.registry import message


@message(159)
class JoinAnswer:
    """Which cluster it may join, and who votes there."""

    cluster: str
    votes: bool
    voters: tuple[str, ...]
