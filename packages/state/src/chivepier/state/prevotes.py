"""Which candidate a voter lets stand."""

from chivepier.state.candidacy import Candidacy
from chivepier.types import Clock


class PreVotes:
    """Promises a pre-vote to one candidate at a time, itself included.

    Candidates that stand at once share the votes, and where none of these
    can be spared, nobody is elected. Of two that ask for pre-votes, only the
    one with the longer log goes on. A promise ends with its time, so that a
    candidate that is gone holds nobody back.

    :param clock: monotonic clock
    :param seconds: for how long a promise holds
    """

    def __init__(self, clock: Clock, seconds: float):
        self._clock = clock
        self._seconds = seconds
        self._promised: Candidacy | None = None
        self._ends_at = 0.0

    def find_promised(self) -> Candidacy | None:
        """Return the candidate that the pre-vote is promised to, if any."""
        if self._clock.monotonic() >= self._ends_at:
            self._promised = None
        return self._promised

    def promise(self, candidacy: Candidacy) -> bool:
        """Promise the pre-vote, unless a better candidate has it.

        :param candidacy: who asks
        :returns: whether it is promised
        """
        promised = self.find_promised()
        if promised is not None and candidacy < promised:
            if candidacy.node != promised.node:
                return False
        self._promised = candidacy
        self._ends_at = self._clock.monotonic() + self._seconds
        return True

    def withdraw(self, node: str) -> None:
        """End the promise to a candidate.

        :param node: its identity
        """
        if self._promised is not None and self._promised.node == node:
            self._promised = None
