"""The WriteAnswer message."""

from chivepier.messages.registry import message


@message(157)
class WriteAnswer:
    """Answer to a :class:`WriteRequest`; if not accepted, outcome unknown."""

    accepted: bool
    reason: str
