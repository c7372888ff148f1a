"""Which candidate a voter lets stand."""

import collections

from chivepier.state.candidacy import Candidacy
from chivepier.types import Clock


class PreVotes:
    """Promises a pre-vote to one candidate at a time, itself included.

    Candidates that stand at once share the votes, and where none of these
    can be spared, nobody is elected. Of two that ask for pre-votes, only the
    one with the longer log goes on. A promise ends with its time, so that a
    candidate that is gone holds nobody back. One that asks again and again and
    can't win, as it hears too few, would hold the others back all the same:
    who has failed less often goes first.

    :param clock: monotonic clock
    :param seconds: for how long a promise holds
    """

    def __init__(self, clock: Clock, seconds: float):
        self._clock = clock
        self._seconds = seconds
        self._promised: Candidacy | None = None
        self._ends_at = 0.0
        # how often each candidate has failed since a leader was heard
        self._lapses: collections.Counter[str] = collections.Counter()

    def find_promised(self) -> Candidacy | None:
        """Return the candidate that the pre-vote is promised to, if any."""
        if self._promised is not None:
            if self._clock.monotonic() >= self._ends_at:
                self._lapses[self._promised.node] += 1
                self._promised = None
        return self._promised

    def may_stand(self, own: Candidacy) -> bool:
        """Promise the pre-vote to this voter, if it is free for it.

        It is where it is promised to one that has failed before: this voter
        may be the only one that can win.

        :param own: this voter's candidacy
        :returns: whether it is promised
        """
        promised = self.find_promised()
        if promised is not None and not self._lapses[promised.node]:
            return False
        self._promised = None
        return self.promise(own)

    def forget(self) -> None:
        """Forget who has failed, as there is a leader."""
        self._promised = None
        self._lapses.clear()

    def promise(self, candidacy: Candidacy) -> bool:
        """Promise the pre-vote, unless a better candidate has it.

        :param candidacy: who asks
        :returns: whether it is promised
        """
        promised = self.find_promised()
        if promised is not None and candidacy < promised:
            lapses = self._lapses
            is_first = lapses[candidacy.node] < lapses[promised.node]
            if candidacy.node != promised.node and not is_first:
                return False
        self._promised = candidacy
        self._ends_at = self._clock.monotonic() + self._seconds
        return True

    def note_failure(self, node: str) -> None:
        """Note that a candidate has not got its majority.

        :param node: its identity
        """
        self._lapses[node] += 1

    def withdraw(self, node: str) -> None:
        """End the promise to a candidate.

        :param node: its identity
        """
        if self._promised is not None and self._promised.node == node:
            self._promised = None
