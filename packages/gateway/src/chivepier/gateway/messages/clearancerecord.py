"""The ClearanceRecord message."""

from chivepier.messages.registry import message


@message(167)
class ClearanceRecord:
    """A request that a target answered whole, so many seconds ago."""

    digest: str
    age: float
    source: str
