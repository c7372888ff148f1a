"""What runs and waits at the entries that follow one voter."""

import collections
import itertools

from chivepier.gateway.control.loadstate import LoadState
from chivepier.gateway.messages import LoadNotice
from chivepier.gateway.messages import LoadRecord
from chivepier.gateway.messages import QueueRecord
from chivepier.gateway.messages import RepeatRecord
from chivepier.gateway.targets import REPORT_EXPIRY_SECONDS

# What adds up over entries; turns to copy memory are told by entry.
SUMMED = ("runs", "tokens", "reading", "receiving", "avoiding")


class LoadLedger:
    """Keeps what each entry last said, and sums it up for other voters.

    The sums follow each change; they are told many times a second.

    :param me: this voter's address
    """

    def __init__(self, me: str):
        self._me = me
        self._said = LoadState()
        self._heard: dict[str, float] = {}
        self._loads: dict[str, collections.Counter[str]] = (
            collections.defaultdict(collections.Counter)
        )
        self._waiting: collections.Counter[tuple[str, int]] = (
            collections.Counter()
        )
        self._used: collections.Counter[str] = collections.Counter()
        self._changes = LoadState()
        self._changed_sums = LoadState()

    def take(self, notice: LoadNotice, now: float) -> None:
        """Take what an entry says of itself.

        :param notice: its records
        :param now: monotonic seconds
        """
        parts = (notice.records, notice.queues, notice.repeats)
        for record in itertools.chain(*parts):
            self._heard[record.entry] = now
        self._put(*parts)

    def drop(self, entry: str) -> None:
        """Forget an entry that follows another voter, which tells of it."""
        if self._heard.pop(entry, None) is not None:
            self._put(*LoadState().find_changes(self._said.select(entry)))

    def expire(self, now: float) -> None:
        """Forget entries that have long been silent."""
        for entry, heard in list(self._heard.items()):
            if now - heard >= REPORT_EXPIRY_SECONDS:
                self.drop(entry)

    def take_changes(self) -> tuple[LoadState, LoadState]:
        """Return what has changed since this was asked before.

        :returns: of single entries, and of the sums
        """
        changes = self._changes, self._changed_sums
        self._changes, self._changed_sums = LoadState(), LoadState()
        return changes

    def read(self) -> LoadState:
        """Return what each entry runs and lets wait."""
        state = LoadState()
        state.add(self._said)
        return state

    def sum_up(self) -> LoadState:
        """Return one record a target and rank, in this voter's name.

        Who copies memory off a leaving target is told by entry, as they take
        turns by their names. All other records of an availability zone become
        one a target: what crosses its border does not grow with the entries.
        """
        summed = LoadState()
        for record in self._said.records.values():
            if record.turn or record.copying:
                self._put_turn(summed, record)
        for instance in self._loads:
            self._put_load(summed, instance)
        for place in self._waiting:
            self._put_waiting(summed, place)
        for service in self._used:
            self._put_used(summed, service)
        return summed

    def _put(
        self,
        records: tuple[LoadRecord, ...],
        queues: tuple[QueueRecord, ...],
        repeats: tuple[RepeatRecord, ...],
    ) -> None:
        for record in records:
            self._change_load(record)
        for queue in queues:
            self._change_waiting(queue)
        for repeat in repeats:
            self._change_used(repeat)

    def _change_load(self, record: LoadRecord) -> None:
        entry, instance = record.entry, record.instance
        nothing = LoadRecord(entry, instance, 0, 0, 0, 0)
        before = self._said.records.pop((entry, instance), nothing)
        if record != nothing:
            self._said.records[(entry, instance)] = record
        if record == before:
            return
        self._changes.put((record,), (), ())
        total = self._loads[instance]
        for name in SUMMED:
            total[name] += getattr(record, name) - getattr(before, name)
        self._put_load(self._changed_sums, instance)
        if not any(total.values()):
            del self._loads[instance]
        turn = (record.turn, record.copying)
        if turn != (before.turn, before.copying):
            self._put_turn(self._changed_sums, record)

    def _change_waiting(self, queue: QueueRecord) -> None:
        key = (queue.entry, queue.service, queue.rank)
        before = self._said.queues.pop(key, None)
        if queue.waiting:
            self._said.queues[key] = queue
        grown = queue.waiting - (before.waiting if before else 0)
        if not grown:
            return
        self._changes.put((), (queue,), ())
        place = (queue.service, queue.rank)
        self._waiting[place] += grown
        self._put_waiting(self._changed_sums, place)
        if not self._waiting[place]:
            del self._waiting[place]

    def _change_used(self, repeat: RepeatRecord) -> None:
        key = (repeat.entry, repeat.service)
        before = self._said.repeats.pop(key, None)
        if repeat.used:
            self._said.repeats[key] = repeat
        grown = repeat.used - (before.used if before else 0)
        if not grown:
            return
        self._changes.put((), (), (repeat,))
        self._used[repeat.service] += grown
        self._put_used(self._changed_sums, repeat.service)
        if not self._used[repeat.service]:
            del self._used[repeat.service]

    def _put_load(self, state: LoadState, instance: str) -> None:
        total = self._loads[instance]
        record = LoadRecord(
            self._me,
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

    def _put_turn(self, state: LoadState, record: LoadRecord) -> None:
        turn = LoadRecord(
            record.entry,
            record.instance,
            0,
            0,
            0,
            record.turn,
            record.copying,
        )
        state.put((turn,), (), ())

    def _put_waiting(self, state: LoadState, place: tuple[str, int]) -> None:
        queue = QueueRecord(self._me, *place, self._waiting[place])
        state.put((), (queue,), ())

    def _put_used(self, state: LoadState, service: str) -> None:
        repeat = RepeatRecord(self._me, service, self._used[service])
        state.put((), (), (repeat,))
