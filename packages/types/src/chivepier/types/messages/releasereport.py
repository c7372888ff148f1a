"""The ReleaseReport message."""

from chivepier.types.messages.registry import message


@message(83)
class ReleaseReport:
    """A permit's end; ``outcome`` is a :class:`PermitOutcome`."""

    entry: str
    pool: str
    shard: int
    permit: int
    tokens: int
    outcome: int
