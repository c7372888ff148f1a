"""The Entry message."""

from chivepier.messages.registry import message


@message(7)
class Entry:
    """One log entry; ``command`` is an encoded command message."""

    term: int
    index: int
    command: bytes
