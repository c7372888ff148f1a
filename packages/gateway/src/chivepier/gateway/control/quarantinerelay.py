"""What entries saw of requests that end targets."""

import collections.abc

from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.messages import EntryBeat
from chivepier.gateway.messages import QuarantineNotice
from chivepier.gateway.quarantine import Ledger
from chivepier.gateway.quarantine import pack_records
from chivepier.gateway.quarantine import shorten
from chivepier.gateway.quarantine import unpack_records
from chivepier.types import Clock
from chivepier.wire import Channel
from chivepier.wire import prepare


class QuarantineRelay:
    """Passes on what entries see, and keeps it for those that come later.

    :param channels: returns where the followers of this voter are reached
    :param clock: monotonic time
    :param log: what this process believes
    """

    def __init__(
        self,
        channels: collections.abc.Callable[[], list[Channel]],
        clock: Clock,
        log: EventLog,
    ):
        self.ledger = Ledger()
        self._channels = channels
        self._clock = clock
        self._log = log

    def receive(self, notice: QuarantineNotice) -> bool:
        """Take what an entry saw, and tell the followers at once.

        Another entry may be sent the same request within a tenth of a second;
        with their next beat alone they would know a third of one later.

        :param notice: from its beat
        :returns: whether anything was news
        """
        now = self._clock.monotonic()
        records = unpack_records(notice, now)
        new_records = [record for record in records if self.ledger.add(record)]
        if new_records:
            self._log.info(
                "quarantine_told",
                digests=sorted(
                    {shorten(record.digest) for record in new_records}
                ),
                sources=sorted({record.source for record in new_records}),
                suspects=len(self.ledger.suspects),
            )
            message = prepare(pack_records(new_records, now))
            for channel in self._channels():
                channel.send_prepared(message)
        return bool(new_records)

    def find_missing(self, beat: EntryBeat, epoch: str) -> QuarantineNotice:
        """Return what an entry lacks.

        :param beat: says what it has
        :param epoch: of this voter; one that knows another has nothing
        """
        revision = beat.quarantine_revision if beat.epoch == epoch else 0
        if revision >= self.ledger.revision:
            return QuarantineNotice()
        records = self.ledger.find_newer(revision)
        return pack_records(records, self._clock.monotonic())

    def expire(self) -> None:
        """Drop what no longer counts."""
        self.ledger.expire(self._clock.monotonic())
