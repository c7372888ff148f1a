"""When a committed configuration is in force everywhere."""

from chivepier.membership.pending import Pending
from chivepier.membership.terms import LeaseTerms
from chivepier.state import MemberSets
from chivepier.types import Clock
from chivepier.types import Signal


class ForceTracker:
    """The leader's record of who has which version.

    A version is in force when every member has acknowledged it, or when no
    other member can still be acting on an older one.  The latter holds
    ``outlast`` seconds after two things: the version was committed (leases
    that the leader granted before have run out) and so many members have it
    that the others are no majority in any member set still in use (so none
    of them can renew its lease from a majority).

    The sets in use come from the replicated state, so that a new leader
    knows those of its predecessors.
    """

    def __init__(self, clock: Clock, terms: LeaseTerms, sets: MemberSets):
        self._clock = clock
        self._terms = terms
        self._sets = sets
        self.in_force = 0
        self.changed = Signal()
        self._acked: dict[tuple[str, int], int] = {}
        self._pending: list[Pending] = []

    def add_version(self, version: int) -> None:
        """Note a committed version.

        :param version: the log index
        """
        now = self._clock.monotonic()
        self._pending.append(Pending(version, now))

    def acknowledge(self, node: str, incarnation: int, version: int) -> None:
        """Note that a member has applied a version.

        :param node: the member
        :param incarnation: which run of it
        :param version: what it has applied
        """
        key = (node, incarnation)
        if version > self._acked.get(key, 0):
            self._acked[key] = version

    def advance(self) -> int:
        """Work out the newest version in force.

        :returns: the version
        """
        before = self.in_force
        while self._pending and self._settled(self._pending[0]):
            self.in_force = self._pending.pop(0).version
        if self.in_force != before:
            self._forget()
            self.changed.set()
        return self.in_force

    def _forget(self) -> None:
        live = frozenset().union(*(members for _, members in self._sets))
        for key in self._acked.keys() - live:
            del self._acked[key]

    def _used_by(self, version: int) -> list[frozenset]:
        # a node that lacks the version knows the sets before it alone
        sets = [s for s in self._sets if s[0] < version]
        while len(sets) > 1 and sets[1][0] <= self.in_force:
            sets.pop(0)
        return [members for _, members in sets]

    def _settled(self, pending: Pending) -> bool:
        sets = self._used_by(pending.version)
        missing = [self._missing(m, pending.version) for m in sets]
        if not any(missing):
            return True
        if not all(2 * len(a) <= len(m) for a, m in zip(missing, sets)):
            pending.blocked_at = None
            return False
        now = self._clock.monotonic()
        if pending.blocked_at is None:
            pending.blocked_at = now
        start = max(pending.committed_at, pending.blocked_at)
        return now >= start + self._terms.outlast

    def _missing(self, members: frozenset, version: int) -> list:
        return [
            key
            for key in members
            if self._acked.get(key, 0) < version
            and key not in self._sets.replaced
        ]

    def lagging(self) -> list[str]:
        """Name the members that hold back the newest version.

        :returns: node identifiers, sorted
        """
        if not self._pending:
            return []
        version = self._pending[-1].version
        *_, (_, newest) = self._sets
        # those of earlier sets may still act on what these allowed
        sets = [*self._used_by(version), newest]
        return sorted({n for s in sets for n, _ in self._missing(s, version)})
