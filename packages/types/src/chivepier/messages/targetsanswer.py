"""The TargetsAnswer message."""

from chivepier.messages.announcement import Announcement
from chivepier.messages.registry import message


@message(94)
class TargetsAnswer:
    """The announcements an owner holds."""

    targets: tuple[Announcement, ...]
