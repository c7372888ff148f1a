"""What the teams that take most of a class have and wait for."""

import collections

from chivepier.gateway.messages import QueueRecord
from chivepier.gateway.targets.loadtracker import REPORT_EXPIRY_SECONDS
from chivepier.gateway.targets.queuecounts import QueueCounts
from chivepier.gateway.targets.usageaverage import UsageAverage

# Share of what a class takes at an entry from which a team is reported: only
# those above their share need to be known, of thousands at large sites.
MIN_REPORTED_SHARE = 0.2
# Average below which a team that holds nothing is forgotten, in tokens.
MIN_AVERAGE_TOKENS = 1.0

Key = tuple[str, int, str]


class TeamTracker:
    """Counts requests by service, rank and team, over all entries.

    :param own_entry: name of this entry
    """

    def __init__(self, own_entry: str):
        self._own_entry = own_entry
        self._own: dict[Key, QueueCounts] = {}
        self._remote: dict[Key, dict[str, tuple[QueueCounts, float]]] = {}
        self._averages: dict[Key, UsageAverage] = {}
        self._reported: set[Key] = set()
        self._taken: dict[tuple[str, int], dict[str, float]] = {}

    def adjust(self, key: Key, change: QueueCounts) -> None:
        """Add to the counts of a team at this entry.

        :param key: service, rank and team
        :param change: counts to add, which may be negative
        """
        counts = self._own.setdefault(key, QueueCounts())
        counts.add(change)
        if not counts:
            del self._own[key]

    def put(self, record: QueueRecord, now: float) -> None:
        """Store the counts of another entry."""
        key = (record.service, record.rank, record.team)
        counts = QueueCounts(
            record.waiting,
            record.waiting_tokens,
            record.running,
            record.held_tokens,
        )
        self._remote.setdefault(key, {})[record.entry] = counts, now

    def drop_all_remote(self) -> None:
        """Drop the counts of all other entries before a full update."""
        self._remote.clear()

    def list_own(self) -> list[QueueRecord]:
        """Return the counts of the largest teams here; 0 once for others."""
        totals: collections.Counter[tuple[str, int]] = collections.Counter()
        for key, counts in self._own.items():
            totals[key[:2]] += _weigh(counts)
        largest = {
            key
            for key, counts in self._own.items()
            if _weigh(counts) >= MIN_REPORTED_SHARE * totals[key[:2]]
        }
        records = []
        for key in largest | self._reported:
            service, rank, team = key
            counts = self._own.get(key) if key in largest else None
            counts = counts or QueueCounts()
            records.append(
                QueueRecord(
                    self._own_entry,
                    service,
                    rank,
                    counts.waiting,
                    counts.waiting_tokens,
                    counts.running,
                    counts.held_tokens,
                    team,
                )
            )
        self._reported = largest
        return records

    def withdraw(self) -> list[QueueRecord]:
        """Forget what teams took; return zeros for those told, once."""
        told, self._reported = self._reported, set()
        self._averages.clear()
        self._taken.clear()
        return [
            QueueRecord(self._own_entry, service, rank, 0, team=team)
            for service, rank, team in told
        ]

    def sample(self, now: float) -> None:
        """Note what teams hold now.

        :param now: current monotonic time, in seconds
        """
        self._taken = {}
        for key in {*self._own, *self._remote, *self._averages}:
            held = self._sum(key, now).held_tokens
            average = self._averages.get(key)
            if average is None and held:
                average = self._averages[key] = UsageAverage()
            if average is not None:
                average.sample(held, now)
                if not held and average.value < MIN_AVERAGE_TOKENS:
                    del self._averages[key]
                else:
                    taken = self._taken.setdefault(key[:2], {})
                    taken[key[2]] = average.value

    def list_taken(self, service: str, urgency: int) -> dict[str, float]:
        """Return the tokens that each team of a class holds on average.

        :param service: name of the service
        :param urgency: the class
        """
        return self._taken.get((service, urgency), {})

    def count_waiting(
        self, service: str, rank: int, team: str, now: float
    ) -> int:
        """Count the requests of a team that wait in a rank."""
        return self._sum((service, rank, team), now).waiting

    def _sum(self, key: Key, now: float) -> QueueCounts:
        total = QueueCounts()
        if key in self._own:
            total.add(self._own[key])
        for counts, heard in self._remote.get(key, {}).values():
            if now - heard < REPORT_EXPIRY_SECONDS:
                total.add(counts)
        return total


def _weigh(counts: QueueCounts) -> int:
    return counts.held_tokens + counts.waiting_tokens
