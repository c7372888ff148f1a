"""The PermitRequest message."""

from chivepier.messages.registry import message


@message(173)
class PermitRequest:
    """Ask the leader for one send to a cold target.

    ``most`` is how many it bears in any second from all entries together.
    """

    instance: str
    most: int
