"""The ChangedNotice message."""

from chivepier.messages.registry import message


@message(68)
class ChangedNotice:
    """The leader committed this configuration version."""

    version: int
    leader: str
