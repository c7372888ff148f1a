"""The backoffs that targets requested from this entry."""

import random

from chivepier.gateway.limits.activebackoff import ActiveBackoff

# Upper bound of a backoff. A target that requests more uses another unit, or
# will have restarted by then, which ends the backoff.
MAX_BACKOFF_SECONDS = 3600.0
# Jitter as a fraction of the backoff, and its upper bound. Without it, entries
# whose backoffs began together would return together.
JITTER_RATIO = 0.1
MAX_JITTER_SECONDS = 0.5
# Time for the answer to the first request after a backoff. Others wait for it,
# or all waiting requests would be sent at once.
PROBE_SECONDS = 0.25
# Delay before checking again whether that request has been answered.
PROBE_POLL_SECONDS = 0.02
# Key of the incarnation after one that has ended; its start is not known yet.
NEXT_INCARNATION = -1
# Upper bound of a backoff that either the ended or the next incarnation may
# have requested; announcements tell within this time which one is running.
MAX_INHERITED_SECONDS = 30.0
# Number of backoffs from which expired ones are dropped.
MAX_BACKOFFS = 1_000


class BackoffTable:
    """Tracks when each target may be sent requests again.

    A backoff applies to the entry that got it, and is not shared: a target
    slightly over capacity rejects a few entries and would be idle if all of
    them backed off. It applies to one incarnation of the target.

    >>> table = BackoffTable(random.Random(1))
    >>> table.add("i1", 7, 3.0, 10.0)
    True
    >>> 0.0 < table.find_delay("i1", 7, 12.9) < 0.5
    True
    >>> table.find_delay("i1", 7, 13.5) is None
    True
    >>> table.find_delay("i1", 8, 11.0) is None
    True

    :param rng: source of the jitter
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._backoffs: dict[tuple[str, int], ActiveBackoff] = {}

    def __bool__(self) -> bool:
        return bool(self._backoffs)

    def add(
        self, instance: str, born: int, seconds: float, now: float
    ) -> bool:
        """Record a backoff that a target requested.

        A shorter backoff that is requested later does not cut a longer one.

        :param instance: the target's name
        :param born: start of the incarnation that requested it
        :param seconds: duration in seconds, from the answer on
        :param now: time of the answer, in monotonic seconds
        :returns: whether no backoff was in force before
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
        """Return the seconds until a target may be sent a request.

        :param instance: the target's name
        :param born: start of its incarnation
        :param now: current time in monotonic seconds
        :returns: ``None`` if it may be sent one now
        """
        backoff = self._find(instance, born)
        if backoff is None:
            return None
        if now < backoff.until:
            return backoff.until - now
        return PROBE_POLL_SECONDS if now < backoff.probe_until else None

    def note_sent(self, instance: str, born: int, now: float) -> None:
        """Record that a request is being sent to a target.

        The first one after a backoff delays the others until it is answered.
        """
        backoff = self._find(instance, born)
        if backoff is not None:
            backoff.probe_until = now + PROBE_SECONDS

    def note_answered(self, instance: str, born: int, now: float) -> None:
        """End an expired backoff on an answer that requests none.

        An answer during a backoff is a late one and is ignored.
        """
        backoff = self._find(instance, born)
        if backoff is not None and now >= backoff.until:
            for start in (born, NEXT_INCARNATION):
                self._backoffs.pop((instance, start), None)

    def count(self, now: float) -> int:
        """Return the number of backoffs in force."""
        return sum(now < backoff.until for backoff in self._backoffs.values())

    def end_incarnation(self, instance: str, born: int, heard: float) -> None:
        """Drop the backoff of an incarnation that the next one replaced.

        Until the next incarnation is announced, its backoffs are recorded
        under the old one, so a backoff requested after the old one was last
        heard is carried over.

        :param instance: the target's name
        :param born: start of the incarnation that has ended
        :param heard: when it was last heard, in monotonic seconds
        """
        backoff = self._backoffs.get((instance, born))
        self.forget(instance, born)
        if backoff is not None and backoff.requested_at > heard:
            backoff.until = min(
                backoff.until, backoff.requested_at + MAX_INHERITED_SECONDS
            )
            self._backoffs[(instance, NEXT_INCARNATION)] = backoff

    def forget(self, instance: str, born: int) -> None:
        """Drop the backoffs of an incarnation that has ended.

        :param instance: the target's name
        :param born: start of that incarnation; backoffs of later ones stay
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
