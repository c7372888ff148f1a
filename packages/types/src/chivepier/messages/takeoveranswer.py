"""The TakeoverAnswer message."""

from chivepier.messages.announcement import Announcement
from chivepier.messages.inflightpermit import InflightPermit
from chivepier.messages.registry import message


@message(101)
class TakeoverAnswer:
    """What a member has in flight, and the announcements it passed on.

    ``holder`` is ``node.incarnation`` of the member; ``ready`` is false
    while it has not applied the owner's epoch.
    """

    holder: str
    ready: bool
    permits: tuple[InflightPermit, ...]
    targets: tuple[Announcement, ...]
