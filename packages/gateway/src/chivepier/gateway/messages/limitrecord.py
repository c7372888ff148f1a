"""The LimitRecord message."""

from chivepier.messages.registry import message


@message(175)
class LimitRecord:
    """A rate limit of one incarnation of a target, over all entries.

    ``version`` orders the limits of one incarnation. ``rate`` is in requests
    per second, negative if the limit was removed. ``source`` is the entry that
    received the limit, and ``age`` the number of seconds since, sent as an age
    because clocks of nodes differ.
    """

    instance: str
    born: int
    version: int
    rate: float
    source: str
    age: float
