"""The FreshRequest message."""

from chivepier.messages.registry import message


@message(62)
class FreshRequest:
    """Ask a member which configuration version it has."""

    node: str
    incarnation: int
    version: int
