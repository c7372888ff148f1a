"""The BootstrapRequest message."""

from chivepier.types.messages.registry import message
from chivepier.types.messages.voter import Voter


@message(10)
class BootstrapRequest:
    """Found a cluster with these voters, once."""

    cluster: str
    voters: tuple[Voter, ...]
