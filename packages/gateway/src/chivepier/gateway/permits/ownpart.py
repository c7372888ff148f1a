"""What an entry may send alone, without a word of the others."""

import random

from chivepier.gateway.permits.claim import Claim
from chivepier.gateway.permits.turn import Turn
from chivepier.gateway.permits.turns import LEAST_RATE


class OwnPart:
    """An even part of a target's rate, for an entry that no leader answers.

    With nothing sent, a service whose targets are all in need would stand
    still for want of a leader. Entries begin at random moments of the time
    that their part takes: each sending one at once, hundreds would come to a
    target together.

    >>> part = OwnPart(random.Random(1))
    >>> part.begin(4)
    >>> part.claim("i1", 2.0, Claim(patience=2.0), 0.0).granted
    True
    >>> part.claim("i1", 2.0, Claim(), 0.1).granted
    False

    :param rng: draws where this entry begins
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._entries = 1
        self._due: dict[str, float] = {}

    def begin(self, entries: int) -> None:
        """Begin to send without a leader.

        :param entries: that share a target's rate, this one included
        """
        self._entries = max(1, entries)
        self._due.clear()

    def claim(
        self, instance: str, rate: float, claim: Claim, now: float
    ) -> Turn:
        """Give a claim its turn, or say when to ask again.

        :param instance: the target's name
        :param rate: requests a second that it takes from all entries
        :param claim: whose request it is
        :param now: monotonic seconds
        """
        apart = self._entries / max(rate, LEAST_RATE)
        due = self._due.get(instance)
        if due is None:
            due = self._due[instance] = now + self._rng.uniform(0.0, apart)
        if due - now > claim.patience:
            return Turn(False, due - now)
        self._due[instance] = max(due, now) + apart
        return Turn(True, max(0.0, due - now))
