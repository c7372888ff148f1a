"""The rests that targets asked this entry for."""

import random

from chivepier.gateway.limits.activebackoff import ActiveBackoff

# Seconds of rest that are believed at most. A target that asks for more counts
# in another unit, or will have started again by then, which ends its rest.
MAX_BACKOFF_SECONDS = 3600.0
# Share of a rest, and seconds at most, by which it may be longer: entries that
# were asked at one moment would else come back at one moment.
JITTER_RATIO = 0.1
MAX_JITTER_SECONDS = 0.5
# Seconds in which the first request after a rest is to be answered; only then
# do others follow, or all that waited here would come at once.
PROBE_SECONDS = 0.25
# Seconds after which it is worth to look again whether it has been answered.
PROBE_POLL_SECONDS = 0.02
# Stands for the life after one that has ended, whose start is not known here.
NEXT_INCARNATION = -1
# Seconds for which a rest holds that either life of a target may have asked
# for; its announcements say within this time which one it is.
MAX_INHERITED_SECONDS = 30.0
# Rests that are kept before those that are long over are dropped.
MAX_BACKOFFS = 1_000


class BackoffTable:
    """Knows when each target may be sent something again.

    A rest is asked of one entry, and the others are not told: a target that
    is a little over its room turns a few of them away, and would stand idle
    if all kept away. It binds one life of the target.

    >>> board = BackoffTable(random.Random(1))
    >>> board.add("i1", 7, 3.0, 10.0)
    True
    >>> 0.0 < board.find_delay("i1", 7, 12.9) < 0.5
    True
    >>> board.find_delay("i1", 7, 13.5) is None
    True
    >>> board.find_delay("i1", 8, 11.0) is None
    True

    :param rng: spreads the ends
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._backoffs: dict[tuple[str, int], ActiveBackoff] = {}

    def __bool__(self) -> bool:
        return bool(self._backoffs)

    def add(
        self, instance: str, born: int, seconds: float, now: float
    ) -> bool:
        """Take that a target wants nothing for a while.

        Each answer asks for itself: a shorter one that comes later ends no
        longer one.

        :param instance: the target's name
        :param born: start of the life that asked
        :param seconds: from its answer on
        :param now: when that came, in monotonic seconds
        :returns: whether it was at rest until now
        """
        self._drop_expired(now)
        seconds = min(seconds, MAX_BACKOFF_SECONDS)
        jitter = min(JITTER_RATIO * seconds, MAX_JITTER_SECONDS)
        until = now + seconds + self._rng.uniform(0.0, jitter)
        known = self._backoffs.get((instance, born))
        if known is None or known.until <= now:
            self._backoffs[(instance, born)] = ActiveBackoff(until, now)
            return True
        known.until = max(known.until, until)
        known.requested_at = now
        return False

    def _find(self, instance: str, born: int) -> ActiveBackoff | None:
        found = [
            backoff
            for start in (born, NEXT_INCARNATION)
            if (backoff := self._backoffs.get((instance, start))) is not None
        ]
        return max(found, key=lambda backoff: backoff.until, default=None)

    def find_delay(self, instance: str, born: int, now: float) -> float | None:
        """Return the seconds after which a target may be sent something.

        :param instance: the target's name
        :param born: start of its life
        :param now: monotonic seconds
        :returns: ``None`` where it may be now
        """
        backoff = self._find(instance, born)
        if backoff is None:
            return None
        if now < backoff.until:
            return backoff.until - now
        return PROBE_POLL_SECONDS if now < backoff.probe_until else None

    def note_sent(self, instance: str, born: int, now: float) -> None:
        """Note that something is being sent to a target.

        The first after a rest holds the others back until it is answered.
        """
        backoff = self._find(instance, born)
        if backoff is not None:
            backoff.probe_until = now + PROBE_SECONDS

    def note_answered(self, instance: str, born: int, now: float) -> None:
        """Note an answer that asks for no rest; one within a rest is late."""
        backoff = self._find(instance, born)
        if backoff is not None and now >= backoff.until:
            for start in (born, NEXT_INCARNATION):
                self._backoffs.pop((instance, start), None)

    def count(self, now: float) -> int:
        """Return how many targets are at rest."""
        return sum(now < backoff.until for backoff in self._backoffs.values())

    def end_incarnation(self, instance: str, born: int, heard: float) -> None:
        """Drop what a life had asked for that the next one has ended.

        Until a target is announced anew, what the next life asks for counts
        as this one's: what came after this one last spoke goes on for it.

        :param instance: the target's name
        :param born: start of the life that has ended
        :param heard: when it last spoke, in monotonic seconds
        """
        backoff = self._backoffs.get((instance, born))
        self.forget(instance, born)
        if backoff is not None and backoff.requested_at > heard:
            backoff.until = min(
                backoff.until, backoff.requested_at + MAX_INHERITED_SECONDS
            )
            self._backoffs[(instance, NEXT_INCARNATION)] = backoff

    def forget(self, instance: str, born: int) -> None:
        """Drop what a life that has ended had asked for.

        :param instance: the target's name
        :param born: start of that life; rests of a later one stay
        """
        for name, start in list(self._backoffs):
            if name == instance and start <= born:
                del self._backoffs[(name, start)]

    def _drop_expired(self, now: float) -> None:
        if len(self._backoffs) < MAX_BACKOFFS:
            return
        self._backoffs = {
            start: backoff
            for start, backoff in self._backoffs.items()
            if now < backoff.until
        }
