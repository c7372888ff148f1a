"""The CancelReport message."""

from chivepier.messages.registry import message


@message(84)
class CancelReport:
    """The caller left while its request was waiting."""

    entry: str
    pool: str
    shard: int
    request: str
