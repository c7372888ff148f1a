"""Exchange of records about requests that crashed targets."""

import collections

from chivepier.gateway.messages import QuarantineNotice
from chivepier.gateway.quarantine import pack_records
from chivepier.gateway.quarantine import Quarantine
from chivepier.gateway.quarantine import Record
from chivepier.gateway.quarantine import unpack_records
from chivepier.types import Clock
from chivepier.types import Signal

# Maximum number of own records kept for voters that lack them; a restarted
# voter gets all of them.
MAX_OWN_RECORDS = 256
EMPTY_NOTICE = QuarantineNotice()


class QuarantineExchange:
    """Synchronizes the quarantines of all entries.

    Each beat carries the records that its voter has not confirmed, so neither
    a lost message nor a restarted voter loses any. A voter pushes new records
    to its followers and returns them in answers to beats of other entries.
    As an entry has a link to every voter, one voter reachable from two
    entries is enough, and voters need not exchange records.

    :ivar changed: set when this entry has added a record
    :ivar count: number of records that this entry has added

    :param quarantine: quarantine of this entry
    :param clock: source of monotonic time
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
        """Return the records that a voter lacks.

        :param confirmed: number of this entry's records that the voter has;
            ``None`` if it restarted: it then also gets the evidence against
            all suspects, whichever entry recorded it
        """
        ledger = self._quarantine.ledger
        missing = min(self.count - (confirmed or 0), len(self._own))
        if confirmed is not None and not missing:
            return EMPTY_NOTICE
        records = list(self._own)[len(self._own) - missing :]
        if confirmed is None:
            records += ledger.list_evidence()
        return pack_records(records, self._clock.monotonic())

    def take(self, notice: QuarantineNotice) -> None:
        """Merge the records sent by a voter."""
        now = self._clock.monotonic()
        self._quarantine.merge(unpack_records(notice, now))

    def expire(self) -> None:
        """Drop expired records."""
        self._quarantine.expire()
