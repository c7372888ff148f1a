"""The EnrolAnswer message."""

from chivepier.messages.registry import message


@message(73)
class EnrolAnswer:
    """Whether the instance takes entries from now on."""

    accepted: bool
    message: str
