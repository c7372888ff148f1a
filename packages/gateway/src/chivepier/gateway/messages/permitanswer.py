"""The PermitAnswer message."""

from chivepier.messages.registry import message


@message(174)
class PermitAnswer:
    """Whether the send is permitted."""

    granted: bool
