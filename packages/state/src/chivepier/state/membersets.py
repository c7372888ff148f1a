"""The member sets that some node may still be using."""

import collections.abc

from chivepier.messages import Member

Keys = frozenset[tuple[str, int]]


class MemberSets:
    """Sets of ``(node, incarnation)``, each with the epoch that made it.

    A node that lags renews its lease from a majority of the set that it
    knows.  A new leader that knew only the newest set could call a version
    in force while a majority of an older, smaller set still vouches for an
    earlier one.  So the sets stay in the log's state until a leader has
    seen a later epoch in force.

    >>> sets = MemberSets()
    >>> sets.add(3, [])
    >>> sets.settle(3)
    >>> list(sets)
    [(3, frozenset())]
    """

    def __init__(self, items: list[tuple[int, Keys]] | None = None):
        self._items = items or [(0, frozenset())]

    def __iter__(self) -> collections.abc.Iterator[tuple[int, Keys]]:
        return iter(self._items)

    def add(
        self, epoch: int, members: collections.abc.Iterable[Member]
    ) -> None:
        """Note the set that an epoch made.

        :param epoch: the log index
        :param members: all members at it
        """
        keys = frozenset((m.node, m.incarnation) for m in members)
        self._items.append((epoch, keys))

    def settle(self, epoch: int) -> None:
        """Forget the sets before an epoch that is in force.

        :param epoch: the log index
        """
        while len(self._items) > 1 and self._items[1][0] <= epoch:
            self._items.pop(0)

    def pack(self) -> list:
        """Return plain values for a snapshot."""
        return [(epoch, sorted(keys)) for epoch, keys in self._items]

    @classmethod
    def unpack(cls, plain: list) -> "MemberSets":
        """Build the sets again.

        :param plain: what :meth:`pack` returned
        :returns: the sets
        """
        return cls(
            [
                (epoch, frozenset((node, run) for node, run in keys))
                for epoch, keys in plain
            ]
        )
