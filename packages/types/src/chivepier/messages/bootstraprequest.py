"""The BootstrapRequest message."""

from chivepier.messages.registry import message
from chivepier.messages.voter import Voter


@message(10)
class BootstrapRequest:
    """Found a cluster with these voters, once."""

    cluster: str
    voters: tuple[Voter, ...]
