"""Evidence about requests under which targets ended."""

import collections.abc

from chivepier.gateway.quarantine.clearance import Clearance
from chivepier.gateway.quarantine.ending import Ending
from chivepier.gateway.quarantine.hold import Hold
from chivepier.gateway.quarantine.incarnation import Incarnation
from chivepier.gateway.quarantine.suspects import find_suspects
from chivepier.gateway.quarantine.suspects import MIN_ENDINGS

# Time for which an ending counts as evidence.
ENDING_TTL_SECONDS = 4 * 3600.0
# Time for which a request is held back after its third ending, doubled by each
# further one.
HOLD_SECONDS = 600.0
# Time after an answer in which endings do not count against the request: many
# copies of a popular request run on any target that ends.
CLEARANCE_WINDOW_SECONDS = 60.0
# Time for which an answer is remembered: longer than it counts, so that it
# also covers endings that are reported late.
CLEARANCE_TTL_SECONDS = 2 * CLEARANCE_WINDOW_SECONDS
# Maximum number of endings, and of clearances, over all requests.
MAX_RECORDS = 4_000
# Maximum number of endings per request; more do not change its hold.
MAX_ENDINGS_PER_REQUEST = 16

Record = Ending | Clearance


class CrashLedger:
    """Endings and clearances by request, merged from all entries.

    Records are immutable, only added and expired, so that merging does not
    depend on their order, repetition or route.

    :ivar revision: number of records added so far
    :ivar suspects: digests of the requests that are or were held back

    >>> ledger = CrashLedger()
    >>> for name in "abc":
    ...     end = Ending("d", Incarnation(name, 0), 5.0, "e1", "refused")
    ...     assert ledger.add(end)
    >>> ledger.find_hold("d", 6.0).until
    605.0
    >>> ledger.add(Clearance("d", 6.0, "e2"))
    True
    >>> ledger.find_hold("d", 6.0)
    """

    def __init__(self) -> None:
        self.revision = 0
        self._endings: dict[str, dict[Incarnation, Ending]] = {}
        self._clearances: dict[str, Clearance] = {}
        # revision of each record by its key, in ascending order
        self._revisions: dict[tuple[str, Incarnation | None], int] = {}
        self.suspects: frozenset[str] = frozenset()

    def has_endings(self, digest: str) -> bool:
        """Tell whether a target has ended under a request."""
        return digest in self._endings

    def find_endings(self, digest: str) -> list[Ending]:
        """Return the endings recorded for a request, oldest first."""
        found = self._endings.get(digest, {}).values()
        return sorted(found, key=lambda ending: ending.seen)

    def find_hold(self, digest: str, now: float) -> Hold | None:
        """Return the hold on a request, if it is held back.

        :param digest: digest of the request
        :param now: current time in monotonic seconds
        :returns: the hold with its evidence, or ``None``
        """
        if digest not in self.suspects:
            return None
        endings = self.find_endings(digest)
        seconds = HOLD_SECONDS * 2 ** (len(endings) - MIN_ENDINGS)
        until = endings[-1].seen + min(seconds, ENDING_TTL_SECONDS)
        return Hold(digest, tuple(endings), until) if now < until else None

    def find_held(self, now: float) -> set[str]:
        """Return the digests of the requests that are held back now."""
        return {d for d in self.suspects if self.find_hold(d, now)}

    def add(self, record: Record) -> bool:
        """Merge a record from this or another node.

        :param record: an ending or a clearance
        :returns: whether it was new
        """
        match record:
            case Ending():
                return self._add_ending(record)
            case Clearance():
                return self._add_clearance(record)

    def find_newer(self, revision: int) -> collections.abc.Iterator[Record]:
        """Yield the records added since a revision, newest first."""
        for key in reversed(self._revisions):
            if self._revisions[key] <= revision:
                return
            yield self._find(*key)

    def expire(self, now: float) -> None:
        """Drop expired records.

        :param now: current time in monotonic seconds
        """
        expired = [
            (digest, incarnation)
            for digest, ends in self._endings.items()
            for incarnation, ending in ends.items()
            if now - ending.seen >= ENDING_TTL_SECONDS
        ]
        for digest, incarnation in expired:
            self._drop_ending(digest, incarnation)
        for clearance in list(self._clearances.values()):
            if now - clearance.seen >= CLEARANCE_TTL_SECONDS:
                self._drop_clearance(clearance.digest)
        if expired:
            self._update_suspects()

    def _find(self, digest: str, incarnation: Incarnation | None) -> Record:
        if incarnation is None:
            return self._clearances[digest]
        return self._endings[digest][incarnation]

    def _add_ending(self, ending: Ending) -> bool:
        digest, incarnation = ending.digest, ending.incarnation
        known = self._endings.get(digest, {})
        clearance = self._clearances.get(digest)
        if incarnation in known or clearance and _clears(clearance, ending):
            return False
        if len(known) >= MAX_ENDINGS_PER_REQUEST:
            self._drop_ending(digest, self.find_endings(digest)[0].incarnation)
        self._evict()
        self._endings.setdefault(digest, {})[incarnation] = ending
        self._assign_revision((digest, incarnation))
        if len(self._endings[digest]) >= MIN_ENDINGS:
            self._update_suspects()
        return True

    def _add_clearance(self, clearance: Clearance) -> bool:
        digest = clearance.digest
        known = self._clearances.get(digest)
        if known is not None and clearance.seen <= known.seen:
            return False
        for ending in self.find_endings(digest):
            if _clears(clearance, ending):
                self._drop_ending(digest, ending.incarnation)
        if digest in self.suspects:
            self._update_suspects()
        if known is None and len(self._clearances) >= MAX_RECORDS:
            oldest = min(self._clearances.values(), key=lambda c: c.seen)
            self._drop_clearance(oldest.digest)
        self._clearances[digest] = clearance
        self._assign_revision((digest, None))
        return True

    def _evict(self) -> None:
        """Drop an ending if the ledger is full.

        The oldest ending of the requests with the fewest endings is dropped
        first: most of those ran beside the cause and never return, whereas a
        cause that is forgotten ends three more targets.
        """
        if len(self._revisions) - len(self._clearances) < MAX_RECORDS:
            return
        for max_endings in range(1, MAX_ENDINGS_PER_REQUEST + 1):
            for digest, incarnation in self._revisions:
                if (
                    incarnation is not None
                    and len(self._endings[digest]) <= max_endings
                ):
                    self._drop_ending(digest, incarnation)
                    if digest in self.suspects:
                        self._update_suspects()
                    return

    def _assign_revision(self, key: tuple[str, Incarnation | None]) -> None:
        self.revision += 1
        self._revisions.pop(key, None)
        self._revisions[key] = self.revision

    def _drop_ending(self, digest: str, incarnation: Incarnation) -> None:
        ends = self._endings[digest]
        del ends[incarnation], self._revisions[(digest, incarnation)]
        if not ends:
            del self._endings[digest]

    def _drop_clearance(self, digest: str) -> None:
        del self._clearances[digest], self._revisions[(digest, None)]

    def _update_suspects(self) -> None:
        ends = {
            digest: ends.keys()
            for digest, ends in self._endings.items()
            if len(ends) >= MIN_ENDINGS
        }
        self.suspects = frozenset(find_suspects(ends))


def _clears(clearance: Clearance, ending: Ending) -> bool:
    return ending.seen <= clearance.seen + CLEARANCE_WINDOW_SECONDS
