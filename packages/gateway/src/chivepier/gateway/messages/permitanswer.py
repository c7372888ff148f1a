"""The PermitAnswer message."""

from chivepier.messages.registry import message


@message(174)
class PermitAnswer:
    """Whether the send is permitted.

    ``wait`` is the seconds until it may be sent, or until it is worth asking
    again. ``led`` is false where no leader could be asked.
    """

    granted: bool
    wait: float = 0.0
    has_leader: bool = True
