"""Relay for quarantine records of requests that crash targets."""

import collections.abc

from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.messages import EntryBeat
from chivepier.gateway.messages import QuarantineNotice
from chivepier.gateway.quarantine import CrashLedger
from chivepier.gateway.quarantine import pack_records
from chivepier.gateway.quarantine import shorten
from chivepier.gateway.quarantine import unpack_records
from chivepier.types import Clock
from chivepier.wire import Channel
from chivepier.wire import prepare


class QuarantineRelay:
    """Stores records received from entries and forwards them to followers.

    :param channels: returns the channels to the followers of this voter
    :param clock: monotonic clock
    :param log: receives new records
    """

    def __init__(
        self,
        channels: collections.abc.Callable[[], list[Channel]],
        clock: Clock,
        log: EventLog,
    ):
        self.ledger = CrashLedger()
        self._channels = channels
        self._clock = clock
        self._log = log

    def receive(self, notice: QuarantineNotice) -> bool:
        """Store an entry's records and push new ones to followers.

        Another entry may receive the same request within 0.1 s, while its next
        beat may be a third of a second away.

        :param notice: records contained in the entry's beat
        :returns: whether any record was new
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
        """Return the records that an entry has not received yet.

        :param beat: the entry's beat, with the revision that it has
        :param epoch: this voter's epoch; an entry with another epoch is sent
            all records
        """
        revision = beat.quarantine_revision if beat.epoch == epoch else 0
        if revision >= self.ledger.revision:
            return QuarantineNotice()
        records = self.ledger.find_newer(revision)
        return pack_records(records, self._clock.monotonic())

    def expire(self) -> None:
        """Remove expired records."""
        self.ledger.expire(self._clock.monotonic())
