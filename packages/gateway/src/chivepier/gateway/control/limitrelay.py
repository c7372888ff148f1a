"""Relay for the rate limits that targets set in answers to entries."""

import collections.abc

from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.limits import LimitTable
from chivepier.gateway.limits import pack_limits
from chivepier.gateway.limits import unpack_limits
from chivepier.gateway.limits import VersionedLimit
from chivepier.gateway.messages import EntryBeat
from chivepier.gateway.messages import LimitNotice
from chivepier.gateway.messages import LimitRecord
from chivepier.gateway.targets import Target
from chivepier.types import Clock
from chivepier.wire import Channel
from chivepier.wire import prepare


class LimitRelay:
    """Stores limits received from entries and forwards them to followers.

    :param channels: returns the channels to the followers of this voter
    :param clock: monotonic clock
    :param log: receives new limits
    """

    def __init__(
        self,
        channels: collections.abc.Callable[[], list[Channel]],
        clock: Clock,
        log: EventLog,
    ):
        self.board = LimitTable()
        self._channels = channels
        self._clock = clock
        self._log = log

    def receive(self, records: tuple[LimitRecord, ...]) -> None:
        """Store limits received from an entry and push new ones to followers.

        :param records: limits contained in the entry's beat
        """
        now = self._clock.monotonic()
        limits = unpack_limits(records, now)
        changed = [limit for limit in limits if self.board.put(limit)]
        if not changed:
            return
        for limit in changed:
            self._log_limit(limit, now)
        message = prepare(LimitNotice(pack_limits(changed, now)))
        for channel in self._channels():
            channel.send_prepared(message)

    def _log_limit(self, limit: VersionedLimit, now: float) -> None:
        self._log.info(
            "limit_known",
            target=limit.instance,
            born=limit.born,
            rate=limit.rate,
            version=limit.version,
            source=limit.source,
            age_ms=round(1000 * (now - limit.seen)),
        )

    def find_active(
        self, targets: collections.abc.Iterable[Target]
    ) -> list[tuple[VersionedLimit, float]]:
        """Return the rate limits in force for the given targets.

        :param targets: targets to look up
        :returns: pairs of a limit and its age in seconds
        """
        now = self._clock.monotonic()
        limits = [self.board.find(t.instance, t.born) for t in targets]
        return [
            (limit, now - limit.seen)
            for limit in limits
            if limit is not None and limit.rate is not None
        ]

    def find_missing(
        self, beat: EntryBeat, epoch: str
    ) -> tuple[LimitRecord, ...]:
        """Return the limits that an entry has not received yet.

        :param beat: the entry's beat, with the revision that it has
        :param epoch: this voter's epoch; an entry with another epoch is sent
            all limits
        """
        revision = beat.limits_revision if beat.epoch == epoch else 0
        if revision >= self.board.revision:
            return ()
        limits = self.board.find_newer(revision)
        return pack_limits(limits, self._clock.monotonic())
