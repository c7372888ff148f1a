"""The PermitAnswer message."""

from chivepier.messages.registry import message


@message(174)
class PermitAnswer:
    """Answer to a :class:`PermitRequest`.

    ``wait`` is the number of seconds until the request may be sent or, if not
    granted, until another attempt is useful. ``has_leader`` is false if no
    leader could be reached.
    """

    granted: bool
    wait: float = 0.0
    has_leader: bool = True
