"""The WriteRequest message."""

from chivepier.messages.registry import message


@message(156)
class WriteRequest:
    """Commit a whole configuration, asked of the leader."""

    version: int
    body: bytes
