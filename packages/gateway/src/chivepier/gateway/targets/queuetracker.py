"""Queued and running requests over all entries."""

import collections

from chivepier.gateway.messages import QueueRecord
from chivepier.gateway.targets.classusage import ClassUsage
from chivepier.gateway.targets.loadtracker import REPORT_EXPIRY_SECONDS
from chivepier.gateway.targets.queuecounts import QueueCounts
from chivepier.gateway.targets.teamtracker import TeamTracker
from chivepier.gateway.targets.usageaverage import UsageAverage
from chivepier.types import Signal

# Minimum interval of the samples of what classes take: half of the time that
# short generations run.
SAMPLE_SECONDS = 0.25
# Average below which a class that holds nothing is forgotten, in tokens.
MIN_AVERAGE_TOKENS = 1.0

Key = tuple[str, int]


class QueueTracker:
    """Counts requests by service and rank; the lowest goes first.

    Each entry assigns targets on its own. Without the counts of the others, a
    new request could take the capacity that a more urgent one waits for at
    another entry, or will need within the next seconds.

    :ivar teams: the counts of the largest teams

    :param own_entry: name of this entry
    :param changed: set whenever the counts of this entry change
    :ivar patient_services: services whose classes can wait for each other;
        ``None`` for all
    :param shares_usage: whether entries tell each other what classes hold;
        otherwise no class counts as taking anything
    """

    def __init__(
        self, own_entry: str, changed: Signal, shares_usage: bool = True
    ):
        self.own_entry = own_entry
        self.shares_usage = shares_usage
        self.patient_services: frozenset[str] | None = None
        self._told_waiting: set[Key] = set()
        self.teams = TeamTracker(own_entry)
        self._changed = changed
        self._own: dict[Key, QueueCounts] = collections.defaultdict(
            QueueCounts
        )
        self._remote: dict[Key, dict[str, tuple[QueueCounts, float]]] = (
            collections.defaultdict(dict)
        )
        self._averages: dict[Key, UsageAverage] = {}
        self._sizes: dict[Key, float] = {}
        self._sampled_at: float | None = None

    def enter(
        self, service: str, rank: int, tokens: int = 0, team: str = ""
    ) -> None:
        """Count a request that starts to wait here.

        :param service: name of the service
        :param rank: rank of the request
        :param tokens: room that it needs, in tokens
        :param team: its team, if any
        """
        self._adjust((service, rank), team, QueueCounts(1, tokens))

    def leave(
        self, service: str, rank: int, tokens: int = 0, team: str = ""
    ) -> None:
        """Count a request that stops waiting here; see :meth:`enter`."""
        self._adjust((service, rank), team, QueueCounts(-1, -tokens))

    def adjust_held(
        self,
        service: str,
        urgency: int,
        runs: int = 0,
        tokens: int = 0,
        team: str = "",
    ) -> None:
        """Add to the room that generations of this entry hold.

        :param service: name of the service
        :param urgency: their class
        :param runs: number of generations that started, less those that ended
        :param tokens: tokens that they take, less those that they free
        :param team: their team, if any
        """
        change = QueueCounts(running=runs, held_tokens=tokens)
        self._adjust((service, urgency), team, change)

    def put(self, record: QueueRecord, now: float) -> None:
        """Store the counts of another entry.

        :param record: reported counts
        :param now: current monotonic time, in seconds
        """
        if record.entry == self.own_entry:
            return
        if record.team:
            self.teams.put(record, now)
        else:
            counts = QueueCounts(
                record.waiting,
                record.waiting_tokens,
                record.running,
                record.held_tokens,
            )
            key = (record.service, record.rank)
            self._remote[key][record.entry] = counts, now

    def drop_all_remote(self) -> None:
        """Drop the counts of all other entries before a full update."""
        self._remote.clear()
        self.teams.drop_all_remote()

    def list_own(self) -> list[QueueRecord]:
        """Return the counts of this entry; those of 0 are reported once."""
        if self.shares_usage:
            records = self._list_usage_records() + self.teams.list_own()
            # all are told once more should usage no longer be shared
            self._told_waiting = {key for key, c in self._own.items() if c}
        else:
            records = self._list_waiting_records() + self.teams.withdraw()
            self._averages.clear()
            self._sizes.clear()
        for key in [key for key, counts in self._own.items() if not counts]:
            del self._own[key]
        return records

    def _list_waiting_records(self) -> list[QueueRecord]:
        records = []
        for key, counts in self._own.items():
            if counts.waiting or key in self._told_waiting:
                records.append(
                    QueueRecord(self.own_entry, *key, counts.waiting)
                )
        self._told_waiting = {
            key for key, counts in self._own.items() if counts.waiting
        }
        return records

    def _list_usage_records(self) -> list[QueueRecord]:
        return [
            QueueRecord(
                self.own_entry,
                service,
                rank,
                counts.waiting,
                counts.waiting_tokens,
                counts.running,
                counts.held_tokens,
            )
            for (service, rank), counts in self._own.items()
        ]

    def count_ahead(self, service: str, rank: int, now: float) -> int:
        """Count the queued requests of lower rank, which go first.

        :param service: name of the service
        :param rank: rank of the request
        :param now: current monotonic time, in seconds
        """
        return self._sum_ahead(service, rank, now).waiting

    def count_tokens_ahead(self, service: str, rank: int, now: float) -> int:
        """Count the tokens that queued requests of lower rank need.

        :param service: name of the service
        :param rank: rank of the request
        :param now: current monotonic time, in seconds
        """
        return self._sum_ahead(service, rank, now).waiting_tokens

    def list_usage(self, service: str, now: float) -> list[ClassUsage]:
        """Return what each class of a service takes, the most urgent first.

        :param service: name of the service
        :param now: current monotonic time, in seconds
        """
        if not self.is_patient(service):
            return []
        self.sample(now)
        found = []
        for key in sorted(k for k in self._averages if k[0] == service):
            counts = self._sum(key, now)
            found.append(
                ClassUsage(
                    urgency=key[1],
                    running=counts.running,
                    held=counts.held_tokens,
                    average=self._averages[key].value,
                    size=self._sizes[key],
                )
            )
        return found

    def is_patient(self, service: str) -> bool:
        """Tell whether classes of a service leave room to each other.

        :param service: name of the service
        """
        known = self.patient_services
        return self.shares_usage and (known is None or service in known)

    def sample(self, now: float) -> None:
        """Note what classes take now; to be called when counts change.

        A class takes what its generations hold and what those that wait need:
        one that finds no room would otherwise seem to need none.

        :param now: current monotonic time, in seconds
        """
        last = self._sampled_at
        if not self.shares_usage:
            return
        if last is not None and 0.0 <= now - last < SAMPLE_SECONDS:
            return
        self._sampled_at = now
        self.teams.sample(now)
        for key in {*self._own, *self._remote, *self._averages}:
            counts = self._sum(key, now)
            average = self._averages.get(key)
            # a peer's counts may be wrong, and sizes are divided by
            if counts.running > 0 and counts.held_tokens > 0:
                self._sizes[key] = counts.held_tokens / counts.running
                if average is None:
                    average = self._averages[key] = UsageAverage()
            # the ranks of late requests hold no room, so aren't averaged
            if average is not None:
                taken = counts.held_tokens + counts.waiting_tokens
                average.sample(taken, now)
                if not taken and average.value < MIN_AVERAGE_TOKENS:
                    del self._averages[key], self._sizes[key]

    def _adjust(self, key: Key, team: str, change: QueueCounts) -> None:
        self._own[key].add(change)
        if team:
            self.teams.adjust((*key, team), change)
        if self.shares_usage or change.waiting:
            self._changed.set()

    def count_waiting(self, service: str, rank: int, now: float) -> int:
        """Count the requests that wait in a rank."""
        return self._sum((service, rank), now).waiting

    def _sum_ahead(self, service: str, rank: int, now: float) -> QueueCounts:
        total = QueueCounts()
        for key in self._own.keys() | self._remote.keys():
            if key[0] == service and key[1] < rank:
                total.add(self._sum(key, now))
        return total

    def _sum(self, key: Key, now: float) -> QueueCounts:
        total = QueueCounts()
        if key in self._own:
            total.add(self._own[key])
        for counts, heard in self._remote.get(key, {}).values():
            if now - heard < REPORT_EXPIRY_SECONDS:
                total.add(counts)
        return total
