"""The rate limit of an entry that reaches no leader."""

import random

from chivepier.gateway.permits.claim import Claim
from chivepier.gateway.permits.fairscheduler import MIN_SENDS_PER_SECOND
from chivepier.gateway.permits.senddecision import SendDecision


class FallbackLimiter:
    """Limits sends to an equal share of a target's rate limit.

    Used while no leader responds: without it, a service whose targets are all
    rate-limited would stop. Each entry starts at a random time within its send
    interval; otherwise hundreds of entries would send to a target at once.

    >>> limiter = FallbackLimiter(random.Random(1))
    >>> limiter.reset(4)
    >>> limiter.acquire("i1", 2.0, Claim(max_wait=2.0), 0.0).granted
    True
    >>> limiter.acquire("i1", 2.0, Claim(), 0.1).granted
    False

    :param rng: random source for the first send of this entry
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._entry_count = 1
        self._due_at: dict[str, float] = {}

    def reset(self, entries: int) -> None:
        """Start sending without a leader.

        :param entries: number of entries that share a target's rate limit,
            including this one
        """
        self._entry_count = max(1, entries)
        self._due_at.clear()

    def acquire(
        self, instance: str, rate: float, claim: Claim, now: float
    ) -> SendDecision:
        """Grant a claim its turn, or return when to repeat it.

        :param instance: name of the target
        :param rate: rate limit of the target over all entries, in requests per
            second
        :param claim: the claim of the request
        :param now: current monotonic time, in seconds
        """
        interval = self._entry_count / max(rate, MIN_SENDS_PER_SECOND)
        due = self._due_at.get(instance)
        if due is None:
            due = self._due_at[instance] = now + self._rng.uniform(
                0.0, interval
            )
        if due - now > claim.max_wait:
            return SendDecision(False, due - now)
        self._due_at[instance] = max(due, now) + interval
        return SendDecision(True, max(0.0, due - now))
