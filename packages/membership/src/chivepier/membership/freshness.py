"""Whether this node's configuration may still be acted on."""

from chivepier.membership.terms import LeaseTerms
from chivepier.types import Clock


class Freshness:
    """A node's lease on its configuration.

    A node that is cut off could serve by a configuration that was replaced:
    an operator is told "in force" while a removed team is still served.  So
    a node takes new work only within ``lease`` seconds of hearing, from the
    leader or from a majority of all members, that there is none newer.
    Times count from when the question was sent, so that a slow answer can
    not prolong the lease.

    ``era`` counts how often the lease had run out: what was decided in one
    era by the right of the lease, such as owning a shard, is void in the
    next, also when the lapse fell between two looks at it.
    """

    def __init__(self, clock: Clock, terms: LeaseTerms):
        self._clock = clock
        self._terms = terms
        self._confirmed = float("-inf")
        self.era = 0

    def confirm(self, asked_at: float) -> None:
        """Note that there was nothing newer at a time.

        :param asked_at: monotonic seconds when the question was sent
        """
        if not self.fresh():
            self.era += 1
        self._confirmed = max(self._confirmed, asked_at)

    def fresh(self) -> bool:
        """Tell whether new work may be taken now."""
        return self.age() < self._terms.lease

    def age(self) -> float:
        """Seconds since the last confirmation."""
        return self._clock.monotonic() - self._confirmed
