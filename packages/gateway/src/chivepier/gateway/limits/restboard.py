"""The rests that targets asked this entry for."""

import random

from chivepier.gateway.limits.standingrest import StandingRest

# Seconds of rest that are believed at most. A target that asks for more counts
# in another unit, or will have started again by then, which ends its rest.
MOST_REST_SECONDS = 3600.0
# Share of a rest, and seconds at most, by which it may be longer: entries that
# were asked at one moment would else come back at one moment.
SPREAD_SHARE = 0.1
MOST_SPREAD_SECONDS = 0.5
# Seconds in which the first request after a rest is to be answered; only then
# do others follow, or all that waited here would come at once.
TRIAL_SECONDS = 0.25
# Seconds after which it is worth to look again whether it has been answered.
LOOK_SECONDS = 0.02
# Stands for the life after one that has ended, whose start is not known here.
NEXT_LIFE = -1
# Seconds for which a rest holds that either life of a target may have asked
# for; its announcements say within this time which one it is.
MOST_PASSED_SECONDS = 30.0
# Rests that are kept before those that are long over are dropped.
MOST_KEPT = 1_000


class RestBoard:
    """Knows when each target may be sent something again.

    A rest is asked of one entry, and the others are not told: a target that
    is a little over its room turns a few of them away, and would stand idle
    if all kept away. It binds one life of the target.

    >>> board = RestBoard(random.Random(1))
    >>> board.note("i1", 7, 3.0, 10.0)
    True
    >>> 0.0 < board.find_pause("i1", 7, 12.9) < 0.5
    True
    >>> board.find_pause("i1", 7, 13.5) is None
    True
    >>> board.find_pause("i1", 8, 11.0) is None
    True

    :param rng: spreads the ends
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._rests: dict[tuple[str, int], StandingRest] = {}

    def __bool__(self) -> bool:
        return bool(self._rests)

    def note(
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
        self._drop_over(now)
        seconds = min(seconds, MOST_REST_SECONDS)
        spread = min(SPREAD_SHARE * seconds, MOST_SPREAD_SECONDS)
        until = now + seconds + self._rng.uniform(0.0, spread)
        known = self._rests.get((instance, born))
        if known is None or known.until <= now:
            self._rests[(instance, born)] = StandingRest(until, now)
            return True
        known.until = max(known.until, until)
        known.asked = now
        return False

    def _find(self, instance: str, born: int) -> StandingRest | None:
        found = [
            rest
            for life in (born, NEXT_LIFE)
            if (rest := self._rests.get((instance, life))) is not None
        ]
        return max(found, key=lambda rest: rest.until, default=None)

    def find_pause(self, instance: str, born: int, now: float) -> float | None:
        """Return the seconds after which a target may be sent something.

        :param instance: the target's name
        :param born: start of its life
        :param now: monotonic seconds
        :returns: ``None`` where it may be now
        """
        rest = self._find(instance, born)
        if rest is None:
            return None
        if now < rest.until:
            return rest.until - now
        return LOOK_SECONDS if now < rest.tried_until else None

    def note_sent(self, instance: str, born: int, now: float) -> None:
        """Note that something is being sent to a target.

        The first after a rest holds the others back until it is answered.
        """
        rest = self._find(instance, born)
        if rest is not None:
            rest.tried_until = now + TRIAL_SECONDS

    def note_answered(self, instance: str, born: int, now: float) -> None:
        """Note an answer that asks for no rest; one within a rest is late."""
        rest = self._find(instance, born)
        if rest is not None and now >= rest.until:
            for life in (born, NEXT_LIFE):
                self._rests.pop((instance, life), None)

    def count(self, now: float) -> int:
        """Return how many targets are at rest."""
        return sum(now < rest.until for rest in self._rests.values())

    def end_life(self, instance: str, born: int, heard: float) -> None:
        """Drop what a life had asked for that the next one has ended.

        Until a target is announced anew, what the next life asks for counts
        as this one's: what came after this one last spoke goes on for it.

        :param instance: the target's name
        :param born: start of the life that has ended
        :param heard: when it last spoke, in monotonic seconds
        """
        rest = self._rests.get((instance, born))
        self.forget(instance, born)
        if rest is not None and rest.asked > heard:
            rest.until = min(rest.until, rest.asked + MOST_PASSED_SECONDS)
            self._rests[(instance, NEXT_LIFE)] = rest

    def forget(self, instance: str, born: int) -> None:
        """Drop what a life that has ended had asked for.

        :param instance: the target's name
        :param born: start of that life; rests of a later one stay
        """
        for name, life in list(self._rests):
            if name == instance and life <= born:
                del self._rests[(name, life)]

    def _drop_over(self, now: float) -> None:
        if len(self._rests) < MOST_KEPT:
            return
        self._rests = {
            life: rest
            for life, rest in self._rests.items()
            if now < rest.until
        }
