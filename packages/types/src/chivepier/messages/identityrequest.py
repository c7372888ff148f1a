"""The IdentityRequest message."""

from chivepier.messages.registry import message


@message(8)
class IdentityRequest:
    """Ask an instance who it is and whether its folder is new."""
