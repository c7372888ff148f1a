"""What an entry may send alone, without a word of the others."""

import random

from chivepier.gateway.permits.claim import Claim
from chivepier.gateway.permits.fairscheduler import MIN_SENDS_PER_SECOND
from chivepier.gateway.permits.senddecision import SendDecision


class FallbackLimiter:
    """An even part of a target's rate, for an entry that no leader answers.

    With nothing sent, a service whose targets are all in need would stand
    still for want of a leader. Entries begin at random moments of the time
    that their part takes: each sending one at once, hundreds would come to a
    target together.

    >>> limiter = FallbackLimiter(random.Random(1))
    >>> limiter.reset(4)
    >>> limiter.acquire("i1", 2.0, Claim(patience=2.0), 0.0).granted
    True
    >>> limiter.acquire("i1", 2.0, Claim(), 0.1).granted
    False

    :param rng: draws where this entry begins
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._entry_count = 1
        self._due_at: dict[str, float] = {}

    def reset(self, entries: int) -> None:
        """Begin to send without a leader.

        :param entries: that share a target's rate, this one included
        """
        self._entry_count = max(1, entries)
        self._due_at.clear()

    def acquire(
        self, instance: str, rate: float, claim: Claim, now: float
    ) -> SendDecision:
        """Give a claim its turn, or say when to ask again.

        :param instance: the target's name
        :param rate: requests a second that it takes from all entries
        :param claim: whose request it is
        :param now: monotonic seconds
        """
        interval = self._entry_count / max(rate, MIN_SENDS_PER_SECOND)
        due = self._due_at.get(instance)
        if due is None:
            due = self._due_at[instance] = now + self._rng.uniform(
                0.0, interval
            )
        if due - now > claim.patience:
            return SendDecision(False, due - now)
        self._due_at[instance] = max(due, now) + interval
        return SendDecision(True, max(0.0, due - now))
