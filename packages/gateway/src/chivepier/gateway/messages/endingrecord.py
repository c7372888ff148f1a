"""The EndingRecord message."""

from chivepier.messages.registry import message


@message(166)
class EndingRecord:
    """A target that ended while it ran a request.

    ``instance`` and ``born`` name one life of the target; ``age`` is how long
    ago its end was seen, in seconds, as clocks of nodes differ; ``source`` is
    the entry that saw it, and ``how`` what showed it.
    """

    digest: str
    instance: str
    born: int
    age: float
    source: str
    how: str
