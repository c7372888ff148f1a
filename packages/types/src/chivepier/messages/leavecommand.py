"""The LeaveCommand message."""

from chivepier.messages.registry import message


@message(43)
class LeaveCommand:
    """A member left or its lease ran out."""

    node: str
    incarnation: int
