"""The Noop message."""

from chivepier.messages.registry import message


@message(40)
class Noop:
    """Entry by which a new leader commits its term."""
