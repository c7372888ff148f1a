"""Exchange of the rate limits that targets announced."""

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
    """Synchronizes the rate limits known to all entries.

    An entry reports a limit to every voter, at once and with each beat until
    that voter has confirmed it. A voter pushes it to its followers and returns
    it in answers to beats of other entries, so one voter reachable from two
    entries is enough. A restarted voter gets all limits known here.

    :ivar changed: set when a limit known to this entry has changed

    :param table: rate limits known to this entry
    :param clock: source of monotonic time
    """

    def __init__(self, table: LimitTable, clock: Clock):
        self.changed = Signal()
        self._table = table
        self._clock = clock
        table.watchers.append(self._handle_limit)

    @property
    def revision(self) -> int:
        """Revision of this entry's limits up to which a beat reports them."""
        return self._table.revision

    def _handle_limit(
        self, limit: VersionedLimit, before: VersionedLimit | None
    ) -> None:
        self.changed.set()

    def find_unconfirmed(
        self, sync: LimitSyncState
    ) -> tuple[LimitRecord, ...]:
        """Return the limits that a voter has not confirmed."""
        limits = self._table.find_newer(
            sync.confirmed_revision or 0,
            own_only=sync.confirmed_revision is not None,
        )
        return pack_limits(limits, self._clock.monotonic())

    def take(self, records: tuple[LimitRecord, ...]) -> None:
        """Merge the limits sent by a voter."""
        for limit in unpack_limits(records, self._clock.monotonic()):
            self._table.put(limit)

    def expire(self, targets: collections.abc.Iterable[Target]) -> None:
        """Drop the limits of targets that are no longer known.

        :param targets: the known targets
        """
        self._table.expire(target.instance for target in targets)

    def handle_answer(
        self,
        sync: LimitSyncState,
        answer: EntryBeatAnswer,
        confirmed_revision: int | None,
    ) -> None:
        """Handle a voter's answer to a beat.

        :param sync: synchronization state of that voter
        :param answer: answer of the voter
        :param confirmed_revision: revision up to which the voter now has
            this entry's limits; ``None`` if it restarted since the beat was
            composed
        """
        sync.confirmed_revision = confirmed_revision
        sync.received_revision = answer.limits_revision
        self.take(answer.limits)
