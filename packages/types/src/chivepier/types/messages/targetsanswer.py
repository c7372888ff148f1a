"""The TargetsAnswer message."""

from chivepier.types.messages.announcement import Announcement
from chivepier.types.messages.registry import message


@message(94)
class TargetsAnswer:
    """The announcements an owner holds."""

    targets: tuple[Announcement, ...]
