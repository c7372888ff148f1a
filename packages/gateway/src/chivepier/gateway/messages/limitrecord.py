"""The LimitRecord message."""

from chivepier.messages.registry import message


@message(175)
class LimitRecord:
    """The rate that one life of a target takes from all entries.

    ``version`` orders what is told of one life; ``rate`` is in requests a
    second, below zero where nothing bounds them any more; ``source`` is the
    entry that was answered so, ``age`` how long ago, in seconds, as clocks of
    nodes differ.
    """

    instance: str
    born: int
    version: int
    rate: float
    source: str
    age: float
