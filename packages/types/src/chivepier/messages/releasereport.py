"""The ReleaseReport message."""

from chivepier.messages.registry import message


@message(83)
class ReleaseReport:
    """A permit's end; ``outcome`` is a :class:`PermitOutcome`."""

    entry: str
    pool: str
    shard: int
    permit: int
    tokens: int
    outcome: int
