"""The ClearanceRecord message."""

from chivepier.messages.registry import message


@message(167)
class ClearanceRecord:
    """A suspected request, or part, that a target has answered completely.

    ``digest`` identifies the request or the part, ``age`` is the number of
    seconds since the answer, and ``source`` is the entry that saw it.
    ``software`` is the service and software version that a part is sound for.
    """

    digest: str
    age: float
    source: str
    software: str = ""
