"""Exchange of loads and queues between entries."""

import collections.abc

from chivepier.gateway.following.reportexchange import ReportExchange
from chivepier.gateway.messages import LoadNotice
from chivepier.gateway.messages import LoadRecord
from chivepier.gateway.messages import QueueRecord
from chivepier.gateway.messages import RepeatRecord
from chivepier.gateway.serving import RetryBudget
from chivepier.gateway.targets import LoadTracker
from chivepier.gateway.targets import QueueTracker
from chivepier.gateway.targets import TargetTable
from chivepier.types import Clock

# Seconds for which load changes are batched before they are sent.
BATCH_SECONDS = 0.01
# Seconds between two full reports of this entry's loads.
FULL_REPORT_SECONDS = 1.0
# Growth of the room that a class holds here which is reported before the next
# full report, in tokens: a part of one generation.
HELD_STEP_TOKENS = 1_024

Post = collections.abc.Callable[[LoadNotice], None]


class LoadExchange:
    """Reports the loads of this entry, and merges those of the others.

    :param board: loads of the targets, over all entries
    :param queues: waiting requests, over all entries
    :param budget: retry budget shared by the entries
    :param table: known targets; silent ones expire with each full report
    :param clock: source of monotonic time
    :param reports: what targets report of their load; not exchanged by default
    """

    def __init__(
        self,
        board: LoadTracker,
        queues: QueueTracker,
        budget: RetryBudget,
        table: TargetTable,
        clock: Clock,
        reports: ReportExchange | None = None,
    ):
        self._reports = reports
        self._board = board
        self._queues = queues
        self._budget = budget
        self._table = table
        self._clock = clock
        self._sent_loads: dict[str, LoadRecord] = {}
        self._sent_queues: dict[tuple[str, int, str], QueueRecord] = {}
        self._sent_loans: dict[str, int] = {}

    def merge(self, notice: LoadNotice) -> None:
        """Merge the loads of the other entries.

        :param notice: loads sent by the voter that this entry follows
        """
        now = self._clock.monotonic()
        if notice.whole:
            self._board.drop_all_remote()
            self._queues.drop_all_remote()
        for record in notice.records:
            self._board.put(record, now)
        for queue in notice.queues:
            self._queues.put(queue, now)
        self._queues.sample(now)
        self._budget.update_peer_loans(notice.repeats, notice.whole, now)
        if self._reports is not None:
            self._reports.merge(notice.reports, now)

    def resend_all(self) -> None:
        """Report everything again after a switch to another voter."""
        self._sent_loads.clear()
        self._sent_queues.clear()
        self._sent_loans.clear()
        self._board.changed.set()

    async def run(self, post: Post) -> None:
        """Report changes until cancelled.

        :param post: sends a notice to the followed voter
        """
        reported_at = 0.0
        while True:
            await self._board.changed.wait(FULL_REPORT_SECONDS)
            await self._clock.sleep(BATCH_SECONDS)
            now = self._clock.monotonic()
            full = now - reported_at >= FULL_REPORT_SECONDS
            if full:
                reported_at = now
                self._table.expire(now)
            self._board.expire_avoiding(now)
            notice = LoadNotice(
                self._collect_loads(full),
                self._collect_queues(full),
                False,
                self._collect_loans(full, now),
                self._reports.collect(now) if self._reports else (),
            )
            if (
                notice.records
                or notice.queues
                or notice.repeats
                or notice.reports
            ):
                post(notice)

    def _collect_loads(self, full: bool) -> tuple[LoadRecord, ...]:
        records = []
        for record in self._board.list_own():
            instance = record.instance
            sent = self._sent_loads.get(instance)
            idle = not (
                record.runs
                or record.tokens
                or record.copy_ms
                or record.avoiding
            )
            if full or sent != record:
                if not idle or sent is not None:
                    records.append(record)
                self._sent_loads[instance] = record
                if idle:
                    self._board.drop_own(instance)
                    del self._sent_loads[instance]
        return tuple(records)

    def _collect_queues(self, full: bool) -> tuple[QueueRecord, ...]:
        records = []
        for record in self._queues.list_own():
            key = (record.service, record.rank, record.team)
            sent = self._sent_queues.get(key)
            if full or sent is None or _is_news(record, sent):
                records.append(record)
                self._sent_queues[key] = record
                if record.team and not (record.waiting or record.running):
                    del self._sent_queues[key]
        return tuple(records)

    def _collect_loans(
        self, full: bool, now: float
    ) -> tuple[RepeatRecord, ...]:
        records = []
        for record in self._budget.list_loans(now):
            sent = self._sent_loans.get(record.service, 0)
            # loans are rare: zero is reported only to revoke an earlier one
            if sent != record.used or full and record.used:
                records.append(record)
            self._sent_loans[record.service] = record.used
        return tuple(records)


def _is_news(record: QueueRecord, sent: QueueRecord) -> bool:
    """Tell whether counts differ enough from those that were sent last.

    Running generations grow all the time; each start and end is reported.
    """
    return (
        record.waiting != sent.waiting
        or record.waiting_tokens != sent.waiting_tokens
        or record.running != sent.running
        or abs(record.held_tokens - sent.held_tokens) >= HELD_STEP_TOKENS
    )
