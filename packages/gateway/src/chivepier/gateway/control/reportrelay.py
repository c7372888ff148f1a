"""Relay for what targets report of their load."""

import collections.abc

from chivepier.gateway.control.reportstore import ReportStore
from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.messages import LoadNotice
from chivepier.gateway.messages import TargetReport
from chivepier.gateway.targets import ReportOutcome
from chivepier.types import Clock
from chivepier.wire import Channel
from chivepier.wire import prepare


class ReportRelay:
    """Relays the reports of followers, and those of other voters.

    Reports of a follower go to the other followers and to the other voters;
    those of another voter to the followers only, so that none goes round.

    :param clock: monotonic clock
    :param log: receives what is dropped
    """

    def __init__(self, clock: Clock, log: EventLog):
        self._clock = clock
        self._log = log
        self._for_followers = ReportStore()
        self._for_voters = ReportStore()

    def receive(
        self,
        reports: collections.abc.Iterable[TargetReport],
        source: Channel | None,
    ) -> bool:
        """Store the reports of a follower.

        :param reports: its reports
        :param source: the channel that they came over
        :returns: whether any is to be relayed
        """
        now = self._clock.monotonic()
        news = False
        for report in reports:
            if self._put(self._for_followers, report, source, now):
                self._for_voters.put(report, source, now)
                news = True
        return news

    def receive_digest(
        self, reports: collections.abc.Iterable[TargetReport]
    ) -> bool:
        """Store the reports of another voter's followers.

        :param reports: the reports in its digest
        :returns: whether any is to be relayed
        """
        now = self._clock.monotonic()
        store = self._for_followers
        return any([self._put(store, report, None, now) for report in reports])

    def take_digest(self) -> tuple[TargetReport, ...]:
        """Return the reports for the next digest to the other voters."""
        now = self._clock.monotonic()
        return tuple(held.pack(now) for held in self._for_voters.take(now))

    def publish(self, channels: collections.abc.Iterable[Channel]) -> None:
        """Send reports to the followers; none gets back its own.

        :param channels: channels to the followers
        """
        now = self._clock.monotonic()
        taken = self._for_followers.take(now)
        if not taken:
            return
        sources = {held.source for held in taken}
        packed = [(held.source, held.pack(now)) for held in taken]
        common = prepare(LoadNotice((), reports=tuple(r for _, r in packed)))
        for channel in channels:
            if channel not in sources:
                channel.send_prepared(common)
                continue
            others = tuple(r for source, r in packed if source is not channel)
            if others:
                channel.send(LoadNotice((), reports=others))

    def _put(
        self,
        store: ReportStore,
        report: TargetReport,
        source: Channel | None,
        now: float,
    ) -> bool:
        outcome = store.put(report, source, now)
        if outcome is ReportOutcome.INVALID:
            self._log.warn(
                "report_dropped",
                target=report.instance,
                born=report.born,
                reason="impossible figures",
            )
        return outcome is ReportOutcome.NEW
