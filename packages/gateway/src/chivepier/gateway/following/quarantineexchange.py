"""Telling what ended targets here, and hearing what did elsewhere."""

import collections

from chivepier.gateway.messages import QuarantineNotice
from chivepier.gateway.quarantine import pack_records
from chivepier.gateway.quarantine import Quarantine
from chivepier.gateway.quarantine import Record
from chivepier.gateway.quarantine import unpack_records
from chivepier.types import Clock
from chivepier.types import Signal

# What this entry saw itself and keeps for voters that lack it: a voter that
# starts anew is told all of it.
MAX_OWN_RECORDS = 256
EMPTY_NOTICE = QuarantineNotice()


class QuarantineExchange:
    """Keeps the quarantines of all entries alike.

    Each beat carries what its voter has not confirmed yet, so that neither a
    lost message nor a voter that starts anew loses anything. What a voter
    learns it pushes to its followers, and tells whoever else beats. An entry
    hears every voter; so any one voter that both hear is enough for two
    entries, and voters need not tell each other.

    :ivar changed: set when this entry has seen something
    :ivar count: how much it has seen

    :param quarantine: of this entry
    :param clock: monotonic time
    """

    def __init__(self, quarantine: Quarantine, clock: Clock):
        self.changed = Signal()
        self.count = 0
        self._quarantine = quarantine
        self._clock = clock
        self._own: collections.deque[Record] = collections.deque(
            maxlen=MAX_OWN_RECORDS
        )
        quarantine.publish = self._publish

    def _publish(self, record: Record) -> None:
        self._own.append(record)
        self.count += 1
        self.changed.set()

    def find_unconfirmed(self, confirmed: int | None) -> QuarantineNotice:
        """Return what a voter lacks of what this entry saw.

        :param confirmed: how many of its records the voter has; ``None``
            where it started anew, and then it lacks the evidence against what
            is held back, too, whoever saw it
        """
        ledger = self._quarantine.ledger
        missing = min(self.count - (confirmed or 0), len(self._own))
        if confirmed is not None and not missing:
            return EMPTY_NOTICE
        records = list(self._own)[len(self._own) - missing :]
        if confirmed is None:
            for digest in ledger.suspects:
                records += ledger.find_endings(digest)
        return pack_records(records, self._clock.monotonic())

    def take(self, notice: QuarantineNotice) -> None:
        """Take what a voter tells."""
        now = self._clock.monotonic()
        self._quarantine.merge(unpack_records(notice, now))

    def expire(self) -> None:
        """Drop what no longer counts."""
        self._quarantine.expire()
