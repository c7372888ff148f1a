"""The ProgressReport message."""

from chivepier.messages.registry import message


@message(82)
class ProgressReport:
    """Tokens delivered so far for each permit, batched."""

    entry: str
    pool: str
    shard: int
    tokens: tuple[tuple[int, int], ...]
