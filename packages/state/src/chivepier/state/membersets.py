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

    ``replaced`` are members in these sets that are proven dead: a later run
    holds their data folder or listens at their address.  Were they waited
    for, a restart of all instances at once would leave a majority of the
    last set that never acknowledges, and no change would be in force again.

    >>> sets = MemberSets()
    >>> sets.add(3, [])
    >>> sets.settle(3)
    >>> list(sets)
    [(3, frozenset())]
    """

    def __init__(self, items: list[tuple[int, Keys]] | None = None):
        self._items = items or [(0, frozenset())]
        self._addresses: dict[tuple[str, int], str] = {}
        self.replaced: set[tuple[str, int]] = set()

    def __iter__(self) -> collections.abc.Iterator[tuple[int, Keys]]:
        return iter(self._items)

    def add(
        self, epoch: int, members: collections.abc.Iterable[Member]
    ) -> None:
        """Note the set that an epoch made.

        :param epoch: the log index
        :param members: all members at it
        """
        members = list(members)
        keys = frozenset((m.node, m.incarnation) for m in members)
        self._items.append((epoch, keys))
        for member in members:
            self._replace(member)

    def _replace(self, member: Member) -> None:
        key = (member.node, member.incarnation)
        if key in self._addresses:
            return
        for (node, run), address in self._addresses.items():
            same = address != "" and address == member.peer_address
            if (same or node == member.node) and run < member.incarnation:
                self.replaced.add((node, run))
        self._addresses[key] = member.peer_address

    def settle(self, epoch: int) -> None:
        """Forget the sets before an epoch that is in force.

        :param epoch: the log index
        """
        while len(self._items) > 1 and self._items[1][0] <= epoch:
            self._items.pop(0)
        used = frozenset().union(*(keys for _, keys in self._items))
        self.replaced &= used
        self._addresses = {
            key: address
            for key, address in self._addresses.items()
            if key in used
        }

    def pack(self) -> list:
        """Return plain values for a snapshot."""
        return [
            [(epoch, sorted(keys)) for epoch, keys in self._items],
            sorted((*key, a) for key, a in self._addresses.items()),
            sorted(self.replaced),
        ]

    @classmethod
    def unpack(cls, plain: list) -> "MemberSets":
        """Build the sets again.

        :param plain: what :meth:`pack` returned
        :returns: the sets
        """
        items, addresses, replaced = plain
        sets = cls(
            [
                (epoch, frozenset((node, run) for node, run in keys))
                for epoch, keys in items
            ]
        )
        sets._addresses = {(node, run): a for node, run, a in addresses}
        sets.replaced = {(node, run) for node, run in replaced}
        return sets
