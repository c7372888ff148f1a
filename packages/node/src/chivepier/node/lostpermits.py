"""Permits whose holder is gone, at the owner."""

import collections.abc

from chivepier.messages import Announcement
from chivepier.messages import PermitOutcome
from chivepier.messages import PermitRequest
from chivepier.node.heldpermits import HeldPermits
from chivepier.node.permitrecord import PermitRecord
from chivepier.policy import Ask
from chivepier.types import Clock

REPORT_LAG_SECONDS = 5.0
ORPHAN_SECONDS = 60.0


class LostPermits:
    """Counts what dead entries left running until it surely ended.

    :param numbers: permit numbers that no other owner gives
    :param held: the permits of the shard
    :param targets: the shard's targets, by name
    """

    def __init__(
        self,
        clock: Clock,
        numbers: collections.abc.Iterator[int],
        held: HeldPermits,
        targets: collections.abc.Mapping[str, Announcement],
    ):
        self._clock = clock
        self._numbers = numbers
        self._held = held
        self._targets = targets

    def watch(self, live: set[str]) -> None:
        """Mark what is lost, and end it when its target is gone for long.

        :param live: ``node.incarnation`` of all members
        """
        now = self._clock.monotonic()
        for record in self._held.book:
            if record.lost_at is None and record.holder not in live:
                record.lost_at = now
            orphan = self.is_orphan(record)
            if orphan and now - record.lost_at > ORPHAN_SECONDS:
                self._end(record)

    def is_orphan(self, record: PermitRecord) -> bool:
        """Tell whether neither holder nor target is left.

        :param record: one of the shard's permits
        :returns: whether nobody will report its end
        """
        return record.lost_at is not None and (
            record.target not in self._targets
        )

    def count_unknown(self, announcement: Announcement) -> None:
        """Count what a target runs and nobody reported.

        The dead node may have been owner and entry: its generations go on
        for a while, and nobody can name them.

        :param announcement: what the target said
        """
        load = announcement.load
        known = len(self._held.book.at(announcement.target))
        now = self._clock.monotonic()
        for _ in range(load.running - known):
            permit = next(self._numbers)
            ask = Ask(
                request=f"unknown.{permit}",
                team="",
                template="",
                model=next(iter(announcement.models), ""),
                prompt_tokens=load.used_tokens // load.running,
            )
            self._held.hold(permit, ask, announcement.target, "", lost_at=now)

    def end_finished(
        self, announcement: Announcement, restarted: bool
    ) -> None:
        """Free the permits of dead entries that the target runs no more.

        :param announcement: what the target said
        :param restarted: whether the target is a new run of its process
        """
        records = self._held.book.at(announcement.target)
        lost = [r for r in records if r.lost_at is not None]
        if not lost:
            return
        # a report lags: it may not show what was granted just now, and
        # still show what ended just now
        settled = self._clock.monotonic() - REPORT_LAG_SECONDS
        known = [
            r for r in records if r.lost_at is None and r.granted < settled
        ]
        running = max(0, announcement.load.running - len(known))
        ended = len(lost) if restarted else len(lost) - running
        old = [r for r in lost if restarted or r.lost_at < settled]
        old.sort(key=lambda r: r.lost_at)
        for record in old[: max(0, ended)]:
            self._end(record)

    def replace(self, request: PermitRequest, target: str) -> None:
        """End the lost permit in whose place a generation was resumed.

        :param request: the resuming entry's request
        :param target: where the generation runs
        """
        records = self._held.book.at(target)
        lost = [r for r in records if r.lost_at is not None]
        same = [
            r
            for r in lost
            if (r.team, r.template) == (request.team, request.template)
        ]
        for record in (same or lost)[:1]:
            self._end(record)

    def _end(self, record: PermitRecord) -> None:
        self._held.end(record.permit, PermitOutcome.CANCELLED)
