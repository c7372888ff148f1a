"""The WriteRequest message."""

from chivepier.messages.registry import message


@message(156)
class WriteRequest:
    """Requests the leader to commit a whole configuration."""

    version: int
    body: bytes
