"""The LeavingRecord message."""

from chivepier.messages.registry import message


@message(177)
class LeavingRecord:
    """One life of a target said in an answer that it leaves.

    ``born`` is the Unix millisecond of its start, 0 where it does not tell.
    """

    instance: str
    born: int
