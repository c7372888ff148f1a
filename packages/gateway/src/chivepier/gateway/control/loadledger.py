"""Running and waiting requests of the entries that follow one voter."""

import collections
import itertools

from chivepier.gateway.control.loadstate import LoadState
from chivepier.gateway.control.loadstate import make_empty_queue
from chivepier.gateway.control.loadstate import make_queue_key
from chivepier.gateway.messages import LoadNotice
from chivepier.gateway.messages import LoadRecord
from chivepier.gateway.messages import QueueRecord
from chivepier.gateway.messages import RepeatRecord
from chivepier.gateway.targets import REPORT_EXPIRY_SECONDS

# Fields that are summed over entries; turns to copy KV memory stay per entry.
SUMMED_FIELDS = ("runs", "tokens", "reading", "receiving", "avoiding")
SUMMED_QUEUE_FIELDS = ("waiting", "waiting_tokens", "running", "held_tokens")


class LoadLedger:
    """Keeps each entry's last report and aggregates them for other voters.

    Sums are updated incrementally, as they are sent many times a second.

    :param own_address: this voter's peer address
    """

    def __init__(self, own_address: str):
        self._own_address = own_address
        self._reports = LoadState()
        self._last_heard: dict[str, float] = {}
        self._load_totals: dict[str, collections.Counter[str]] = (
            collections.defaultdict(collections.Counter)
        )
        self._queue_totals: dict[
            tuple[str, int, str], collections.Counter[str]
        ] = collections.defaultdict(collections.Counter)
        self._retry_totals: collections.Counter[str] = collections.Counter()
        self._changes = LoadState()
        self._sum_changes = LoadState()

    def receive(self, notice: LoadNotice, now: float) -> None:
        """Apply a load report of an entry.

        :param notice: changed records of the entry
        :param now: current time, in monotonic seconds
        """
        parts = (notice.records, notice.queues, notice.repeats)
        for record in itertools.chain(*parts):
            self._last_heard[record.entry] = now
        self._apply(*parts)

    def drop_entry(self, entry: str) -> None:
        """Remove an entry, such as one that now reports to another voter."""
        if self._last_heard.pop(entry, None) is not None:
            self._apply(*LoadState().find_changes(self._reports.select(entry)))

    def expire(self, now: float) -> None:
        """Remove entries that have been silent for too long."""
        for entry, last_heard in list(self._last_heard.items()):
            if now - last_heard >= REPORT_EXPIRY_SECONDS:
                self.drop_entry(entry)

    def pop_changes(self) -> tuple[LoadState, LoadState]:
        """Return and reset the changes since the previous call.

        :returns: changes of single entries, and changes of the sums
        """
        changes = self._changes, self._sum_changes
        self._changes, self._sum_changes = LoadState(), LoadState()
        return changes

    def copy_reports(self) -> LoadState:
        """Return a copy of the last reports of all entries."""
        state = LoadState()
        state.add(self._reports)
        return state

    def aggregate(self) -> LoadState:
        """Return the sums over all entries, under this voter's address.

        Entries copy KV memory off a leaving target in turns, by their names,
        so these records stay per entry. All others become one per target,
        which keeps traffic between zones independent of the entry count.
        """
        summed = LoadState()
        for record in self._reports.records.values():
            if record.copy_ms or record.copying:
                self._add_copy_record(summed, record)
        for instance in self._load_totals:
            self._add_load_sum(summed, instance)
        for queue_key in self._queue_totals:
            self._add_waiting_sum(summed, queue_key)
        for service in self._retry_totals:
            self._add_retry_sum(summed, service)
        return summed

    def _apply(
        self,
        records: tuple[LoadRecord, ...],
        queues: tuple[QueueRecord, ...],
        repeats: tuple[RepeatRecord, ...],
    ) -> None:
        for record in records:
            self._update_load(record)
        for queue in queues:
            self._update_waiting(queue)
        for repeat in repeats:
            self._update_retries(repeat)

    def _update_load(self, record: LoadRecord) -> None:
        entry, instance = record.entry, record.instance
        empty = LoadRecord(entry, instance, 0, 0, 0, 0)
        before = self._reports.records.pop((entry, instance), empty)
        if record != empty:
            self._reports.records[(entry, instance)] = record
        if record == before:
            return
        self._changes.put((record,), (), ())
        total = self._load_totals[instance]
        for name in SUMMED_FIELDS:
            total[name] += getattr(record, name) - getattr(before, name)
        self._add_load_sum(self._sum_changes, instance)
        if not any(total.values()):
            del self._load_totals[instance]
        copy_state = (record.copy_ms, record.copying)
        if copy_state != (before.copy_ms, before.copying):
            self._add_copy_record(self._sum_changes, record)

    def _update_waiting(self, queue: QueueRecord) -> None:
        key = make_queue_key(queue)
        empty = make_empty_queue(key)
        before = self._reports.queues.pop(key, empty)
        if queue != empty:
            self._reports.queues[key] = queue
        if queue == before:
            return
        self._changes.put((), (queue,), ())
        queue_key = key[1:]
        total = self._queue_totals[queue_key]
        for name in SUMMED_QUEUE_FIELDS:
            total[name] += getattr(queue, name) - getattr(before, name)
        self._add_waiting_sum(self._sum_changes, queue_key)
        if not any(total.values()):
            del self._queue_totals[queue_key]

    def _update_retries(self, repeat: RepeatRecord) -> None:
        key = (repeat.entry, repeat.service)
        before = self._reports.repeats.pop(key, None)
        if repeat.used:
            self._reports.repeats[key] = repeat
        delta = repeat.used - (before.used if before else 0)
        if not delta:
            return
        self._changes.put((), (), (repeat,))
        self._retry_totals[repeat.service] += delta
        self._add_retry_sum(self._sum_changes, repeat.service)
        if not self._retry_totals[repeat.service]:
            del self._retry_totals[repeat.service]

    def _add_load_sum(self, state: LoadState, instance: str) -> None:
        total = self._load_totals[instance]
        record = LoadRecord(
            self._own_address,
            instance,
            total["runs"],
            total["tokens"],
            total["reading"],
            0,
            False,
            total["receiving"],
            total["avoiding"],
        )
        state.put((record,), (), ())

    def _add_copy_record(self, state: LoadState, record: LoadRecord) -> None:
        copy_record = LoadRecord(
            record.entry,
            record.instance,
            0,
            0,
            0,
            record.copy_ms,
            record.copying,
        )
        state.put((copy_record,), (), ())

    def _add_waiting_sum(
        self, state: LoadState, queue_key: tuple[str, int, str]
    ) -> None:
        total = self._queue_totals[queue_key]
        service, rank, team = queue_key
        queue = QueueRecord(
            self._own_address,
            service,
            rank,
            *(total[name] for name in SUMMED_QUEUE_FIELDS),
            team,
        )
        state.put((), (queue,), ())

    def _add_retry_sum(self, state: LoadState, service: str) -> None:
        repeat = RepeatRecord(
            self._own_address, service, self._retry_totals[service]
        )
        state.put((), (), (repeat,))
