"""The targets that announce themselves to one shard."""

from chivepier.messages import Announcement
from chivepier.node.seentargets import order
from chivepier.types import Clock

ANNOUNCE_SECONDS = 1.0
MISSED_ANNOUNCEMENTS = 3
REMEMBER_SECONDS = 600.0


class AnnouncedTargets:
    """What each target said last, for as long as it goes on saying it.

    The order of its announcements is remembered for longer, so that an old
    one is known as old when the target was silent for a while.

    :ivar current: by target; without those that stopped
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self.current: dict[str, Announcement] = {}
        self._seen: dict[str, float] = {}
        self._newest: dict[str, tuple[float, tuple[int, int]]] = {}

    def take(self, announcement: Announcement) -> bool:
        """Take what a target says of itself.

        :param announcement: what the target said
        :returns: false when it is older than what is known
        """
        target = announcement.target
        newest = self._newest.get(target)
        if newest is not None and order(announcement) <= newest[1]:
            # an old run's words, delayed on a link, must not undo a new one
            return False
        now = self._clock.monotonic()
        self._newest[target] = now, order(announcement)
        self._seen[target] = now
        self.current[target] = announcement
        return True

    def drop_silent(self) -> list[str]:
        """Drop the targets that stopped announcing themselves.

        :returns: their names
        """
        now = self._clock.monotonic()
        oldest = now - ANNOUNCE_SECONDS * MISSED_ANNOUNCEMENTS
        silent = [name for name, seen in self._seen.items() if seen < oldest]
        for target in silent:
            del self._seen[target]
            del self.current[target]
        return silent

    def forget(self) -> None:
        """Forget the order of announcements of targets long gone."""
        oldest = self._clock.monotonic() - REMEMBER_SECONDS
        for target, (seen, _) in list(self._newest.items()):
            if seen < oldest:
                del self._newest[target]
