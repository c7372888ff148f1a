"""The LeaveRequest message."""

from chivepier.messages.registry import message


@message(189)
class LeaveRequest:
    """Tells the leader that a voter is about to stop."""

    node: str
    cluster: str
