"""Telling which limits targets named here, and hearing of the others'."""

import collections.abc

from chivepier.gateway.following.limitsyncstate import LimitSyncState
from chivepier.gateway.limits import LimitTable
from chivepier.gateway.limits import pack_limits
from chivepier.gateway.limits import unpack_limits
from chivepier.gateway.limits import VersionedLimit
from chivepier.gateway.messages import EntryBeatAnswer
from chivepier.gateway.messages import LimitRecord
from chivepier.gateway.targets import Target
from chivepier.types import Clock
from chivepier.types import Signal


class LimitExchange:
    """Keeps the limits that all entries know of alike.

    An entry tells every voter, at once and with each beat until that voter
    has confirmed it; a voter tells its followers at once, and whoever else
    beats. So any one voter that two entries both hear is enough for them. A
    voter that started anew is told all that is known here.

    :ivar changed: set when a target told this entry something new

    :param board: of this entry
    :param clock: monotonic time
    """

    def __init__(self, table: LimitTable, clock: Clock):
        self.changed = Signal()
        self._table = table
        self._clock = clock
        table.watchers.append(self._handle_limit)

    @property
    def revision(self) -> int:
        """Of this entry's board; what a beat tells goes up to it."""
        return self._table.revision

    def _handle_limit(
        self, limit: VersionedLimit, before: VersionedLimit | None
    ) -> None:
        self.changed.set()

    def find_unconfirmed(
        self, sync: LimitSyncState
    ) -> tuple[LimitRecord, ...]:
        """Return what a voter lacks."""
        limits = self._table.find_newer(
            sync.confirmed_revision or 0,
            own_only=sync.confirmed_revision is not None,
        )
        return pack_limits(limits, self._clock.monotonic())

    def take(self, records: tuple[LimitRecord, ...]) -> None:
        """Take what a voter tells."""
        for limit in unpack_limits(records, self._clock.monotonic()):
            self._table.put(limit)

    def expire(self, targets: collections.abc.Iterable[Target]) -> None:
        """Drop what is believed of targets that are not known any more.

        :param targets: that are known
        """
        self._table.expire(target.instance for target in targets)

    def handle_answer(
        self,
        sync: LimitSyncState,
        answer: EntryBeatAnswer,
        confirmed_revision: int | None,
    ) -> None:
        """Take a voter's answer to a beat.

        :param standing: of that voter
        :param answer: its answer
        :param told: revision up to which it now has all that was told here;
            ``None`` where it started anew since the beat was composed
        """
        sync.confirmed_revision = confirmed_revision
        sync.received_revision = answer.limits_revision
        self.take(answer.limits)
