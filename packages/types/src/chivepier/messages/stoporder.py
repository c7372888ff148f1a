"""The StopOrder message."""

from chivepier.messages.registry import message


@message(85)
class StopOrder:
    """The owner ends a stream early to keep a target from overflow."""

    pool: str
    shard: int
    permit: int
    retry_after: float
