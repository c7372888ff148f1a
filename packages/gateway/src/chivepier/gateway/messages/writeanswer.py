"""The WriteAnswer message."""

from chivepier.messages.registry import message


@message(157)
class WriteAnswer:
    """Whether it is accepted; if not, the outcome is unknown."""

    accepted: bool
    reason: str
