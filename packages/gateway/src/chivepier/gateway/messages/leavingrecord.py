"""The LeavingRecord message."""

from chivepier.messages.registry import message


@message(177)
class LeavingRecord:
    """An incarnation of a target that announced in a response that it leaves.

    ``born`` is its start in Unix milliseconds, 0 if unknown.
    """

    instance: str
    born: int
