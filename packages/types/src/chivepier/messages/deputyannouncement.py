"""The DeputyAnnouncement message."""

from chivepier.messages.announcement import Announcement
from chivepier.messages.registry import message


@message(140)
class DeputyAnnouncement:
    """A target's words, for the deputy of rank ``rank``."""

    announcement: Announcement
    rank: int
