"""The rate limits that this node knows."""

import collections.abc
import itertools

from chivepier.gateway.limits.invalidlimit import InvalidLimit
from chivepier.gateway.limits.limit import Limit
from chivepier.gateway.limits.nolimit import NoLimit
from chivepier.gateway.limits.ratelimit import RateLimit
from chivepier.gateway.limits.versionedlimit import VersionedLimit

# Requests per second from which a limit is ignored: no target serves more.
UNLIMITED_RATE = 1000.0
# Maximum number of limits of unknown targets before these are dropped.
MAX_UNKNOWN_TARGETS = 1_000

Watcher = collections.abc.Callable[
    [VersionedLimit, VersionedLimit | None], None
]


class LimitTable:
    """Merges versioned limits; order and repetition do not matter.

    Answers overtake each other and clocks differ, so limits are ordered by
    causality: an answer is newer than the limit that was known when its
    request was sent. An answer without a limit therefore clears only a limit
    that its entry knew at that time.

    >>> table = LimitTable("e1")
    >>> table.observe("i1", 7, None, RateLimit(1.5), 0.0)
    True
    >>> table.find_rate("i1", 7)
    1.5
    >>> table.observe("i1", 7, None, NoLimit(), 0.1)
    False
    >>> table.observe("i1", 7, table.find("i1", 7), NoLimit(), 0.2)
    True

    :ivar revision: number of changes so far; see :meth:`find_newer`
    :ivar watchers: called with each new limit and the one that it replaces

    :param me: name of this entry; empty at a voter
    """

    def __init__(self, me: str = ""):
        self._me = me
        self._limits: dict[str, VersionedLimit] = {}
        self._changed_at: dict[str, int] = {}
        self._revisions = itertools.count(1)
        self.revision = 0
        self.watchers: list[Watcher] = []

    def observe(
        self,
        instance: str,
        born: int,
        known: VersionedLimit | None,
        limit: Limit,
        now: float,
    ) -> bool:
        """Record the rate limit that an answer states.

        :param instance: the target's name
        :param born: start of the incarnation that answered, in Unix ms
        :param known: limit that was known when the request was sent
        :param limit: limit that the answer states
        :param now: current time in monotonic seconds
        :returns: whether the table changed
        """
        match limit:
            case NoLimit():
                rate = None
            case RateLimit(rate=rate):
                pass
            case InvalidLimit():
                # the target is overloaded, but the rate is unknown: this
                # neither sets nor clears a limit
                return False
        if rate == (known.rate if known else None):
            return False
        record = VersionedLimit(
            instance=instance,
            born=born,
            version=known.version + 1 if known else 1,
            rate=rate,
            source=self._me,
            seen=now,
        )
        return self.put(record)

    def put(self, record: VersionedLimit) -> bool:
        """Merge a limit from this or another node.

        :param record: the limit
        :returns: whether the table changed
        """
        before = self._limits.get(record.instance)
        if before is not None and not record.supersedes(before):
            return False
        self._limits[record.instance] = record
        self.revision = next(self._revisions)
        self._changed_at[record.instance] = self.revision
        for watcher in self.watchers:
            watcher(record, before)
        return True

    def find(self, instance: str, born: int) -> VersionedLimit | None:
        """Return the known limit of one incarnation of a target."""
        record = self._limits.get(instance)
        return record if record is not None and record.born == born else None

    def find_rate(self, instance: str, born: int) -> float | None:
        """Return the rate limit of a target, in requests per second.

        :returns: ``None`` if the rate is not limited
        """
        record = self.find(instance, born)
        if (
            record is None
            or record.rate is None
            or record.rate >= UNLIMITED_RATE
        ):
            return None
        return record.rate

    def find_newer(
        self, revision: int, own_only: bool = False
    ) -> list[VersionedLimit]:
        """Return the limits that changed after a revision.

        :param revision: a revision of this table
        :param own_only: whether to return only limits observed by this entry
        """
        return [
            self._limits[instance]
            for instance, changed_at in self._changed_at.items()
            if changed_at > revision
            and (not own_only or self._limits[instance].source == self._me)
        ]

    def forget(self, instance: str, born: int) -> None:
        """Drop the limit of an incarnation that has ended.

        :param instance: the target's name
        :param born: start of that incarnation; limits of later ones stay
        """
        record = self._limits.get(instance)
        if record is not None and record.born <= born:
            self._drop(instance)

    def expire(self, instances: collections.abc.Iterable[str]) -> None:
        """Drop limits of unknown targets when there are too many.

        Some are kept, as a limit may arrive before the first announcement of
        its target.

        :param instances: names of the known targets
        """
        if len(self._limits) <= MAX_UNKNOWN_TARGETS:
            return
        known = set(instances)
        if len(self._limits) > len(known) + MAX_UNKNOWN_TARGETS:
            for instance in self._limits.keys() - known:
                self._drop(instance)

    def _drop(self, instance: str) -> None:
        del self._limits[instance]
        del self._changed_at[instance]

    def __bool__(self) -> bool:
        return bool(self._limits)

    def __iter__(self) -> collections.abc.Iterator[VersionedLimit]:
        return iter(list(self._limits.values()))
