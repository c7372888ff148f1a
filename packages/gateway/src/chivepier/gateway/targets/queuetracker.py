"""Queued requests over all entries."""

import collections

from chivepier.gateway.messages import QueueRecord
from chivepier.gateway.targets.loadtracker import REPORT_EXPIRY_SECONDS
from chivepier.types import Signal


class QueueTracker:
    """Counts queued requests by service and rank; the lowest goes first.

    Each entry assigns targets on its own. Without the counts of the others, a
    new request could take the capacity that a more urgent one waits for at
    another entry.

    :param own_entry: name of this entry
    :param changed: set whenever the counts of this entry change
    """

    def __init__(self, own_entry: str, changed: Signal):
        self.own_entry = own_entry
        self._changed = changed
        self._own: collections.Counter[tuple[str, int]] = collections.Counter()
        self._remote: dict[tuple[str, int], dict[str, tuple[int, float]]] = (
            collections.defaultdict(dict)
        )

    def enter(self, service: str, rank: int) -> None:
        """Count a request that starts to wait here."""
        self._own[(service, rank)] += 1
        self._changed.set()

    def leave(self, service: str, rank: int) -> None:
        """Count a request that stops waiting here."""
        self._own[(service, rank)] -= 1
        self._changed.set()

    def put(self, record: QueueRecord, now: float) -> None:
        """Store the count of another entry.

        :param record: reported count
        :param now: current monotonic time, in seconds
        """
        if record.entry != self.own_entry:
            key = (record.service, record.rank)
            self._remote[key][record.entry] = (record.waiting, now)

    def drop_all_remote(self) -> None:
        """Drop the counts of all other entries before a full update."""
        self._remote.clear()

    def list_own(self) -> list[QueueRecord]:
        """Return the counts of this entry; a count of 0 is reported once."""
        records = [
            QueueRecord(self.own_entry, service, rank, waiting)
            for (service, rank), waiting in self._own.items()
        ]
        for key in [key for key, waiting in self._own.items() if not waiting]:
            del self._own[key]
        return records

    def count_ahead(self, service: str, rank: int, now: float) -> int:
        """Count the queued requests of lower rank, which go first.

        :param service: name of the service
        :param rank: rank of the request
        :param now: current monotonic time, in seconds
        """
        own = sum(
            waiting
            for (name, other), waiting in self._own.items()
            if name == service and other < rank
        )
        others = sum(
            waiting
            for (name, other), entries in self._remote.items()
            if name == service and other < rank
            for waiting, heard in entries.values()
            if now - heard < REPORT_EXPIRY_SECONDS
        )
        return own + others
