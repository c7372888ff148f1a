"""The announcements that passed through a node."""

import attrs

from chivepier.messages import Announcement
from chivepier.types import Clock

KEPT_SECONDS = 60.0


class SeenTargets:
    """The newest announcement of each target that this node met.

    A new owner knows no target yet, so an old announcement that was held up
    on a link would be the newest it has: a leaving target would get work
    again.  The other nodes tell it what they have seen.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._seen: dict[str, tuple[float, Announcement]] = {}

    def note(self, announcement: Announcement) -> bool:
        """Keep an announcement unless it is an old one.

        :param announcement: what a target said
        :returns: whether it is the newest of its target
        """
        self._forget()
        known = self._seen.get(announcement.target)
        if known is not None and order(announcement) <= order(known[1]):
            return False
        self._seen.pop(announcement.target, None)
        slim = attrs.evolve(announcement, cached=())
        now = self._clock.monotonic()
        self._seen[announcement.target] = (now, slim)
        return True

    def _forget(self) -> None:
        oldest = self._clock.monotonic() - KEPT_SECONDS
        while self._seen:
            target = next(iter(self._seen))
            if self._seen[target][0] > oldest:
                return
            del self._seen[target]

    def list_pool(self, pool: str) -> tuple[Announcement, ...]:
        """Return the newest announcements of a pool's targets."""
        return tuple(a for _, a in self._seen.values() if a.pool == pool)


def order(announcement: Announcement) -> tuple[int, int]:
    """Return what rises with each announcement of a target.

    :param announcement: what a target said
    :returns: the target's run, and the number within it
    """
    return announcement.incarnation, announcement.sequence
