"""The ClearanceRecord message."""

from chivepier.messages.registry import message


@message(167)
class ClearanceRecord:
    """A suspected request that a target has answered completely.

    ``digest`` identifies the request, ``age`` is the number of seconds since
    the answer, and ``source`` is the entry that saw it.
    """

    digest: str
    age: float
    source: str
