"""What waits for room at all entries."""

import collections

from chivepier.gateway.messages import QueueRecord
from chivepier.gateway.targets.loadtracker import REPORT_EXPIRY_SECONDS
from chivepier.types import Signal


class QueueTracker:
    """Requests that wait, by service and rank; the lowest rank goes first.

    Each entry looks for room by itself. Without knowing what waits at the
    others, a request that came just now takes the room for which a more
    urgent one has waited elsewhere.

    :param me: this entry's name
    :param changed: set whenever this entry's own counts change
    """

    def __init__(self, me: str, changed: Signal):
        self.own_entry = me
        self._changed = changed
        self._own: collections.Counter[tuple[str, int]] = collections.Counter()
        self._remote: dict[tuple[str, int], dict[str, tuple[int, float]]] = (
            collections.defaultdict(dict)
        )

    def enter(self, service: str, rank: int) -> None:
        """Count one more request that waits here."""
        self._own[(service, rank)] += 1
        self._changed.set()

    def leave(self, service: str, rank: int) -> None:
        """Count one less."""
        self._own[(service, rank)] -= 1
        self._changed.set()

    def put(self, record: QueueRecord, now: float) -> None:
        """Take what another entry says of its own.

        :param record: its count
        :param now: monotonic seconds
        """
        if record.entry != self.own_entry:
            key = (record.service, record.rank)
            self._remote[key][record.entry] = (record.waiting, now)

    def drop_all_remote(self) -> None:
        """Forget all other entries, which are about to be told anew."""
        self._remote.clear()

    def list_own(self) -> list[QueueRecord]:
        """Return what waits here; what waits no more comes once, as 0."""
        records = [
            QueueRecord(self.own_entry, service, rank, waiting)
            for (service, rank), waiting in self._own.items()
        ]
        for key in [key for key, waiting in self._own.items() if not waiting]:
            del self._own[key]
        return records

    def count_ahead(self, service: str, rank: int, now: float) -> int:
        """Count the requests that go before one of this rank.

        :param service: whose targets are waited for
        :param rank: of the request
        :param now: monotonic seconds
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
