"""What is known of requests under which targets ended."""

import collections.abc

from chivepier.gateway.quarantine.clearance import Clearance
from chivepier.gateway.quarantine.ending import Ending
from chivepier.gateway.quarantine.hold import Hold
from chivepier.gateway.quarantine.incarnation import Incarnation
from chivepier.gateway.quarantine.suspects import find_suspects
from chivepier.gateway.quarantine.suspects import MIN_ENDINGS

# Seconds for which an end counts.
ENDING_TTL_SECONDS = 4 * 3600.0
# Seconds for which the third end of a target keeps a request back, doubled by
# each further one.
HOLD_SECONDS = 600.0
# Seconds after an answer in which ends are not held against the request: many
# copies of a body that is often asked for run beside any end.
CLEARANCE_WINDOW_SECONDS = 60.0
# Seconds for which an answer is remembered: longer than it counts, so that an
# end that is told late meets it.
CLEARANCE_TTL_SECONDS = 2 * CLEARANCE_WINDOW_SECONDS
# Ends that are kept, all requests together.
MAX_RECORDS = 4_000
# Ends that are kept of one request; more say nothing new.
MAX_ENDINGS_PER_REQUEST = 16

Record = Ending | Clearance


class Ledger:
    """Ends and answers by request, merged from whoever tells of them.

    Records are never changed, only added and dropped with time, so that it
    does not matter in which order, how often and through whom they come.

    :ivar revision: counts the records that were added
    :ivar suspects: digests of the requests that are or were held back

    >>> ledger = Ledger()
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
        # the key of each record with its revision, in the order of these
        self._revisions: dict[tuple[str, Incarnation | None], int] = {}
        self.suspects: frozenset[str] = frozenset()

    def has_endings(self, digest: str) -> bool:
        """Tell whether a target has ended under a request."""
        return digest in self._endings

    def find_endings(self, digest: str) -> list[Ending]:
        """Return the ends of targets under a request, the oldest first."""
        found = self._endings.get(digest, {}).values()
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
        seconds = HOLD_SECONDS * 2 ** (len(endings) - MIN_ENDINGS)
        until = endings[-1].seen + min(seconds, ENDING_TTL_SECONDS)
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
        for key in reversed(self._revisions):
            if self._revisions[key] <= revision:
                return
            yield self._find(*key)

    def expire(self, now: float) -> None:
        """Drop what no longer counts.

        :param now: monotonic seconds
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
        """Keep to the bound.

        What goes first are the oldest of the requests that met the fewest
        ends: most of those ran beside the cause and never come again, while
        a cause that is forgotten ends three more targets.
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
