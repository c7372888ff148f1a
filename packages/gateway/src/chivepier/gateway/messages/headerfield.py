"""The HeaderField record."""

from chivepier.messages.registry import message


@message(179)
class HeaderField:
    """One header of a request or of an answer."""

    name: str
    value: str
