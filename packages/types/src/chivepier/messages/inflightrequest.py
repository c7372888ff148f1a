"""The InflightRequest message."""

from chivepier.messages.registry import message


@message(88)
class InflightRequest:
    """A new owner asks an entry what it has in flight."""

    owner: str
    pool: str
    shard: int
