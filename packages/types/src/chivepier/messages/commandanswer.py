"""The CommandAnswer message."""

from chivepier.messages.registry import message


@message(61)
class CommandAnswer:
    """``error`` is an error kind's value, empty on success."""

    error: str
    message: str
    index: int
    result: bytes
