"""Evidence about requests under which targets ended."""

import collections.abc

import attrs

from chivepier.gateway.quarantine.clearance import Clearance
from chivepier.gateway.quarantine.ending import Ending
from chivepier.gateway.quarantine.hold import Hold
from chivepier.gateway.quarantine.incarnation import Incarnation
from chivepier.gateway.quarantine.partevidence import PartEvidence
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
# Maximum number of parts of one request that are suspected.
MAX_PARTS_PER_ENDING = 32
# Maximum number of endings per request; more do not change its hold.
MAX_ENDINGS_PER_REQUEST = 16

Record = Ending | Clearance
# Digest with the incarnation of an ending or the software of a clearance.
RecordKey = tuple[str, Incarnation | str]


class CrashLedger:
    """Endings and clearances by request, merged from all entries.

    Records are only added and expired, and endings lose the parts that are
    cleared, so that merging does not depend on their order, repetition or
    route.

    :ivar revision: number of records added so far
    :ivar suspects: digests of the requests that are or were held back
    :ivar parts: evidence against parts of prompts

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
        self._clearances: dict[tuple[str, str], Clearance] = {}
        # revision of each record by its key, in ascending order
        self._revisions: dict[RecordKey, int] = {}
        self.suspects: frozenset[str] = frozenset()
        self.parts = PartEvidence()

    def has_endings(self, digest: str) -> bool:
        """Tell whether a target has ended under a request."""
        return digest in self._endings

    def find_endings(self, digest: str) -> list[Ending]:
        """Return the endings recorded for a request, oldest first."""
        found = self._endings.get(digest, {}).values()
        return sorted(found, key=lambda ending: ending.seen)

    def list_evidence(self) -> list[Ending]:
        """Return the endings of all suspected requests and parts."""
        found = {}
        for digest in self.suspects:
            for ending in self._endings[digest].values():
                found[(digest, ending.incarnation)] = ending
        for group in self.parts.groups:
            for ending in group.endings:
                found[(ending.digest, ending.incarnation)] = ending
        return list(found.values())

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
                self._drop_clearance(clearance)
        if expired:
            self._update_suspects()

    def _find(self, digest: str, rest: Incarnation | str) -> Record:
        if isinstance(rest, Incarnation):
            return self._endings[digest][rest]
        return self._clearances[(digest, rest)]

    def _add_ending(self, ending: Ending) -> bool:
        digest, incarnation = ending.digest, ending.incarnation
        known = self._endings.get(digest, {})
        if self._is_cleared(digest, "", ending):
            return False
        if incarnation in known:
            # the sender may know of cleared parts what this node does not
            shared = set(ending.parts)
            self._keep_parts(known[incarnation], shared.__contains__)
            self._update_suspects()
            return False
        if len(known) >= MAX_ENDINGS_PER_REQUEST:
            self._drop_ending(digest, self.find_endings(digest)[0].incarnation)
        self._evict()
        parts = [
            part
            for part in ending.parts[:MAX_PARTS_PER_ENDING]
            if not self._is_cleared(part, ending.software, ending)
        ]
        ending = attrs.evolve(ending, parts=tuple(parts))
        self._endings.setdefault(digest, {})[incarnation] = ending
        self.parts.add(ending)
        self._assign_revision((digest, incarnation))
        if self._weigh(ending) >= MIN_ENDINGS:
            self._update_suspects()
        return True

    def _is_cleared(self, subject: str, software: str, ending: Ending) -> bool:
        clearance = self._clearances.get((subject, software))
        return clearance is not None and _clears(clearance, ending)

    def _keep_parts(
        self, ending: Ending, is_kept: collections.abc.Callable[[str], bool]
    ) -> None:
        """Drop parts of an ending, as they are not its cause."""
        kept = tuple(part for part in ending.parts if is_kept(part))
        if kept == ending.parts:
            return
        self.parts.remove(ending)
        ending = attrs.evolve(ending, parts=kept)
        self._endings[ending.digest][ending.incarnation] = ending
        self.parts.add(ending)

    def _add_clearance(self, clearance: Clearance) -> bool:
        digest, key = clearance.digest, (clearance.digest, clearance.software)
        known = self._clearances.get(key)
        if known is not None:
            # many entries may answer requests with a part at the same time,
            # and each of them clears it as soon as one more target ends
            pause = CLEARANCE_WINDOW_SECONDS / 2 if clearance.software else 0.0
            if clearance.seen <= known.seen + pause:
                return False
        for ending in self.parts.find_endings(digest):
            if ending.software == clearance.software and _clears(
                clearance, ending
            ):
                self._keep_parts(ending, lambda part: part != digest)
        for ending in self.find_endings(digest):
            if _clears(clearance, ending):
                self._drop_ending(digest, ending.incarnation)
        self._update_suspects()
        if known is None and len(self._clearances) >= MAX_RECORDS:
            oldest = min(self._clearances.values(), key=lambda c: c.seen)
            self._drop_clearance(oldest)
        self._clearances[key] = clearance
        self._assign_revision(key)
        return True

    def _evict(self) -> None:
        """Drop an ending if the ledger is full.

        The oldest ending of the requests and parts with the fewest endings is
        dropped first: most of those ran beside the cause and never return,
        whereas a cause that is forgotten ends three more targets.
        """
        if len(self._revisions) - len(self._clearances) < MAX_RECORDS:
            return
        for max_endings in range(1, MAX_ENDINGS_PER_REQUEST + 1):
            for digest, rest in self._revisions:
                if (
                    isinstance(rest, Incarnation)
                    and self._weigh(self._endings[digest][rest]) <= max_endings
                ):
                    self._drop_ending(digest, rest)
                    if max_endings >= MIN_ENDINGS:
                        self._update_suspects()
                    return

    def _weigh(self, ending: Ending) -> int:
        """Return how many endings its request or one of its parts has."""
        counts = [self.parts.count(part) for part in ending.parts]
        own = len(self._endings[ending.digest])
        return min(MAX_ENDINGS_PER_REQUEST, max(own, *counts, 0))

    def _assign_revision(self, key: RecordKey) -> None:
        self.revision += 1
        self._revisions.pop(key, None)
        self._revisions[key] = self.revision

    def _drop_ending(self, digest: str, incarnation: Incarnation) -> None:
        ends = self._endings[digest]
        self.parts.remove(ends[incarnation])
        del ends[incarnation], self._revisions[(digest, incarnation)]
        if not ends:
            del self._endings[digest]

    def _drop_clearance(self, clearance: Clearance) -> None:
        key = (clearance.digest, clearance.software)
        del self._clearances[key], self._revisions[key]

    def _update_suspects(self) -> None:
        ends = {
            digest: ends.keys()
            for digest, ends in self._endings.items()
            if len(ends) >= MIN_ENDINGS
        }
        self.suspects = frozenset(find_suspects(ends))
        self.parts.update(ends)


def _clears(clearance: Clearance, ending: Ending) -> bool:
    return ending.seen <= clearance.seen + CLEARANCE_WINDOW_SECONDS
