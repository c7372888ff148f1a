"""What is known of requests under which targets ended."""

import collections.abc

from chivepier.gateway.quarantine.clearance import Clearance
from chivepier.gateway.quarantine.ending import Ending
from chivepier.gateway.quarantine.hold import Hold
from chivepier.gateway.quarantine.life import Life
from chivepier.gateway.quarantine.verdict import find_held
from chivepier.gateway.quarantine.verdict import MOST_ENDS

# Seconds for which an end counts.
KEPT_SECONDS = 4 * 3600.0
# Seconds for which the third end of a target keeps a request back, doubled by
# each further one.
HOLD_SECONDS = 600.0
# Seconds after an answer in which ends are not held against the request: many
# copies of a body that is often asked for run beside any end.
SOUND_SECONDS = 60.0
# Seconds for which an answer is remembered: longer than it counts, so that an
# end that is told late meets it.
CLEARANCE_SECONDS = 2 * SOUND_SECONDS
# Ends that are kept, all requests together.
MOST_KEPT = 4_000
# Ends that are kept of one request; more say nothing new.
MOST_OF_ONE = 16

Record = Ending | Clearance


class Ledger:
    """Ends and answers by request, merged from whoever tells of them.

    Records are never changed, only added and dropped with time, so that it
    does not matter in which order, how often and through whom they come.

    :ivar revision: counts the records that were added
    :ivar suspects: digests of the requests that are or were held back

    >>> ledger = Ledger()
    >>> for name in "abc":
    ...     end = Ending("d", Life(name, 0), 5.0, "e1", "refused")
    ...     assert ledger.add(end)
    >>> ledger.find_hold("d", 6.0).until
    605.0
    >>> ledger.add(Clearance("d", 6.0, "e2"))
    True
    >>> ledger.find_hold("d", 6.0)
    """

    def __init__(self) -> None:
        self.revision = 0
        self._ends: dict[str, dict[Life, Ending]] = {}
        self._clearances: dict[str, Clearance] = {}
        # the key of each record with its revision, in the order of these
        self._order: dict[tuple[str, Life | None], int] = {}
        self.suspects: frozenset[str] = frozenset()

    def knows(self, digest: str) -> bool:
        """Tell whether a target has ended under a request."""
        return digest in self._ends

    def find_endings(self, digest: str) -> list[Ending]:
        """Return the ends of targets under a request, the oldest first."""
        found = self._ends.get(digest, {}).values()
        return sorted(found, key=lambda ending: ending.seen)

    def find_hold(self, digest: str, now: float) -> Hold | None:
        """Tell whether a request is held back, and why.

        :param digest: the request's
        :param now: monotonic seconds
        :returns: the evidence, or nothing
        """
        if digest not in self.suspects:
            return None
        endings = self.find_endings(digest)
        doubled = HOLD_SECONDS * 2 ** (len(endings) - MOST_ENDS)
        until = endings[-1].seen + min(doubled, KEPT_SECONDS)
        return Hold(digest, tuple(endings), until) if now < until else None

    def find_held(self, now: float) -> set[str]:
        """Return the digests of the requests that are held back now."""
        return {d for d in self.suspects if self.find_hold(d, now)}

    def add(self, record: Record) -> bool:
        """Take what this node saw or was told.

        :param record: an end or an answer
        :returns: whether it is news
        """
        match record:
            case Ending():
                return self._add_ending(record)
            case Clearance():
                return self._add_clearance(record)

    def find_newer(self, revision: int) -> collections.abc.Iterator[Record]:
        """Return the records since a revision, the newest first."""
        for key in reversed(self._order):
            if self._order[key] <= revision:
                return
            yield self._find(*key)

    def expire(self, now: float) -> None:
        """Drop what no longer counts.

        :param now: monotonic seconds
        """
        old = [
            (digest, life)
            for digest, ends in self._ends.items()
            for life, ending in ends.items()
            if now - ending.seen >= KEPT_SECONDS
        ]
        for digest, life in old:
            self._drop_ending(digest, life)
        for clearance in list(self._clearances.values()):
            if now - clearance.seen >= CLEARANCE_SECONDS:
                self._drop_clearance(clearance.digest)
        if old:
            self._judge()

    def _find(self, digest: str, life: Life | None) -> Record:
        if life is None:
            return self._clearances[digest]
        return self._ends[digest][life]

    def _add_ending(self, ending: Ending) -> bool:
        digest, life = ending.digest, ending.life
        known = self._ends.get(digest, {})
        clearance = self._clearances.get(digest)
        if life in known or clearance and _clears(clearance, ending):
            return False
        if len(known) >= MOST_OF_ONE:
            self._drop_ending(digest, self.find_endings(digest)[0].life)
        self._make_room()
        self._ends.setdefault(digest, {})[life] = ending
        self._note((digest, life))
        if len(self._ends[digest]) >= MOST_ENDS:
            self._judge()
        return True

    def _add_clearance(self, clearance: Clearance) -> bool:
        digest = clearance.digest
        known = self._clearances.get(digest)
        if known is not None and clearance.seen <= known.seen:
            return False
        for ending in self.find_endings(digest):
            if _clears(clearance, ending):
                self._drop_ending(digest, ending.life)
        if digest in self.suspects:
            self._judge()
        if known is None and len(self._clearances) >= MOST_KEPT:
            oldest = min(self._clearances.values(), key=lambda c: c.seen)
            self._drop_clearance(oldest.digest)
        self._clearances[digest] = clearance
        self._note((digest, None))
        return True

    def _make_room(self) -> None:
        """Keep to the bound.

        What goes first are the oldest of the requests that met the fewest
        ends: most of those ran beside the cause and never come again, while
        a cause that is forgotten ends three more targets.
        """
        if len(self._order) - len(self._clearances) < MOST_KEPT:
            return
        for most in range(1, MOST_OF_ONE + 1):
            for digest, life in self._order:
                if life is not None and len(self._ends[digest]) <= most:
                    self._drop_ending(digest, life)
                    if digest in self.suspects:
                        self._judge()
                    return

    def _note(self, key: tuple[str, Life | None]) -> None:
        self.revision += 1
        self._order.pop(key, None)
        self._order[key] = self.revision

    def _drop_ending(self, digest: str, life: Life) -> None:
        ends = self._ends[digest]
        del ends[life], self._order[(digest, life)]
        if not ends:
            del self._ends[digest]

    def _drop_clearance(self, digest: str) -> None:
        del self._clearances[digest], self._order[(digest, None)]

    def _judge(self) -> None:
        ends = {
            digest: ends.keys()
            for digest, ends in self._ends.items()
            if len(ends) >= MOST_ENDS
        }
        self.suspects = frozenset(find_held(ends))


def _clears(clearance: Clearance, ending: Ending) -> bool:
    return ending.seen <= clearance.seen + SOUND_SECONDS
