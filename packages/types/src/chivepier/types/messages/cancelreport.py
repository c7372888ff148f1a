"""The CancelReport message."""

from chivepier.types.messages.registry import message


@message(84)
class CancelReport:
    """The caller left while its request was waiting."""

    entry: str
    pool: str
    shard: int
    request: str
