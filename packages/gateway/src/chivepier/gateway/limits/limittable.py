"""The limits that this node knows of."""

import collections.abc
import itertools

from chivepier.gateway.limits.invalidlimit import InvalidLimit
from chivepier.gateway.limits.limit import Limit
from chivepier.gateway.limits.nolimit import NoLimit
from chivepier.gateway.limits.ratelimit import RateLimit
from chivepier.gateway.limits.versionedlimit import VersionedLimit

# Requests a second above which a limit binds nobody: no target serves more.
UNLIMITED_RATE = 1000.0
# Words about targets that are not known from which on they are dropped.
MAX_UNKNOWN_TARGETS = 1_000

Watcher = collections.abc.Callable[
    [VersionedLimit, VersionedLimit | None], None
]


class LimitTable:
    """Merges words about limits, in whatever order and however often told.

    Answers overtake each other, and clocks of entries differ. An answer to a
    request that was sent when a word was known is later than that word; so an
    answer without a limit ends only a limit that its entry knew when it sent
    the request.

    >>> board = LimitTable("e1")
    >>> board.observe("i1", 7, None, RateLimit(1.5), 0.0)
    True
    >>> board.find_rate("i1", 7)
    1.5
    >>> board.observe("i1", 7, None, NoLimit(), 0.1)
    False
    >>> board.observe("i1", 7, board.find("i1", 7), NoLimit(), 0.2)
    True

    :ivar revision: counts what was news; see :meth:`find_newer`

    :param me: this entry's name; empty at a voter
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
        """Take what an answer of a target says.

        :param instance: the target's name
        :param born: start of the life that answered
        :param known: what was believed of it when the request was sent
        :param limit: what the answer says
        :param now: monotonic seconds
        :returns: whether it was news
        """
        match limit:
            case NoLimit():
                rate = None
            case RateLimit(rate=rate):
                pass
            case InvalidLimit():
                # in need, but for which rate is not told: neither a limit
                # nor the end of one
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
        """Take a word, also of another node.

        :returns: whether it was news
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
        """Return what is believed of one life of a target."""
        record = self._limits.get(instance)
        return record if record is not None and record.born == born else None

    def find_rate(self, instance: str, born: int) -> float | None:
        """Return the requests a second that a target takes.

        :returns: ``None`` where nothing bounds them
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
        """Return the words that were news after a revision.

        :param revision: of this board
        :param own_only: whether only what was answered here is wanted
        """
        return [
            self._limits[instance]
            for instance, changed_at in self._changed_at.items()
            if changed_at > revision
            and (not own_only or self._limits[instance].source == self._me)
        ]

    def forget(self, instance: str, born: int) -> None:
        """Drop what is believed of a life that has ended.

        :param instance: the target's name
        :param born: start of that life; words about a later one stay
        """
        record = self._limits.get(instance)
        if record is not None and record.born <= born:
            self._drop(instance)

    def expire(self, instances: collections.abc.Iterable[str]) -> None:
        """Drop what is believed of targets that nobody knows any more.

        A word may come before its target's first announcement: some are kept.

        :param instances: names of the targets that are known
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
