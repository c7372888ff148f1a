"""Telling what runs at an entry, and hearing what runs at the others."""

import collections.abc

from chivepier.gateway.messages import LoadNotice
from chivepier.gateway.messages import LoadRecord
from chivepier.gateway.messages import QueueRecord
from chivepier.gateway.messages import RepeatRecord
from chivepier.gateway.serving import RetryBudget
from chivepier.gateway.targets import LoadTracker
from chivepier.gateway.targets import QueueTracker
from chivepier.gateway.targets import TargetTable
from chivepier.types import Clock

# Seconds for which load changes are gathered before they are sent.
GATHER_SECONDS = 0.01
# Seconds between two full reports of this entry's loads.
REPEAT_SECONDS = 1.0

Post = collections.abc.Callable[[LoadNotice], None]


class LoadExchange:
    """Keeps the boards of an entry up to date, and others' of it.

    :param board: what runs where
    :param queues: what waits where
    :param budget: repeats that entries share
    :param table: the targets; forgets silent ones
    :param clock: monotonic time
    """

    def __init__(
        self,
        board: LoadTracker,
        queues: QueueTracker,
        budget: RetryBudget,
        table: TargetTable,
        clock: Clock,
    ):
        self._board = board
        self._queues = queues
        self._budget = budget
        self._table = table
        self._clock = clock
        self._told: dict[str, LoadRecord] = {}
        self._told_queues: dict[tuple[str, int], int] = {}
        self._told_repeats: dict[str, int] = {}

    def merge(self, notice: LoadNotice) -> None:
        """Take what runs at the other entries.

        :param notice: from the voter that this entry follows
        """
        now = self._clock.monotonic()
        if notice.whole:
            self._board.drop_all_remote()
            self._queues.drop_all_remote()
        for record in notice.records:
            self._board.put(record, now)
        for queue in notice.queues:
            self._queues.put(queue, now)
        self._budget.update_peer_loans(notice.repeats, notice.whole, now)

    def tell_anew(self) -> None:
        """Tell everything again: another voter is followed now."""
        self._told.clear()
        self._told_queues.clear()
        self._told_repeats.clear()
        self._board.changed.set()

    async def run(self, post: Post) -> None:
        """Tell what changes, for as long as the node lives.

        :param post: sends to the voter that is followed
        """
        repeated = 0.0
        while True:
            await self._board.changed.wait(REPEAT_SECONDS)
            await self._clock.sleep(GATHER_SECONDS)
            now = self._clock.monotonic()
            again = now - repeated >= REPEAT_SECONDS
            if again:
                repeated = now
                self._table.expire(now)
            self._board.expire_avoiding(now)
            notice = LoadNotice(
                self._find_loads(again),
                self._find_queues(again),
                False,
                self._find_repeats(again, now),
            )
            if notice.records or notice.queues or notice.repeats:
                post(notice)

    def _find_loads(self, again: bool) -> tuple[LoadRecord, ...]:
        records = []
        for record in self._board.list_own():
            instance = record.instance
            told = self._told.get(instance)
            idle = not (
                record.runs
                or record.tokens
                or record.copy_ms
                or record.avoiding
            )
            if again or told != record:
                if not idle or told is not None:
                    records.append(record)
                self._told[instance] = record
                if idle:
                    self._board.drop_own(instance)
                    del self._told[instance]
        return tuple(records)

    def _find_queues(self, again: bool) -> tuple[QueueRecord, ...]:
        records = []
        for record in self._queues.list_own():
            key = (record.service, record.rank)
            if again or self._told_queues.get(key) != record.waiting:
                records.append(record)
            self._told_queues[key] = record.waiting
        return tuple(records)

    def _find_repeats(
        self, again: bool, now: float
    ) -> tuple[RepeatRecord, ...]:
        records = []
        for record in self._budget.list_loans(now):
            told = self._told_repeats.get(record.service, 0)
            # loans are few: none is told until the first
            if told != record.used or again and record.used:
                records.append(record)
            self._told_repeats[record.service] = record.used
        return tuple(records)
