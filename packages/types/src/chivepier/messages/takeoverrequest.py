"""The TakeoverRequest message."""

from chivepier.messages.registry import message


@message(100)
class TakeoverRequest:
    """A new owner asks a member what it knows of a shard.

    ``epoch`` made the asker the owner: a member that has not applied it
    could still accept a permit of the earlier owner after its answer.
    """

    owner: str
    pool: str
    shard: int
    epoch: int
