"""Which target probably has which prompt prefix in its cache."""

import collections

PREFIX_BLOCK_TOKENS = 64
MAX_PREFIXES = 16384


class PrefixIndex:
    """Prefix hashes by target, from own grants and late cache events.

    Own grants are trusted first: cache events come late and with gaps, so
    their silence says nothing.  Hashes are salted by team, so that no entry
    is ever shared between teams.  The oldest entries are forgotten.

    >>> index = PrefixIndex()
    >>> index.insert("a", (1, 2))
    >>> index.count_hits("a", (1, 2, 3)), index.count_hits("b", (1,))
    (2, 0)
    """

    def __init__(self, max_prefixes: int = MAX_PREFIXES):
        self._max = max_prefixes
        self._sizes: dict[str, int] = {}
        self._last: collections.OrderedDict[int, str]
        self._last = collections.OrderedDict()
        self._by_target: dict[str, collections.OrderedDict[int, None]] = {}

    def insert(self, target: str, prefix: tuple[int, ...]) -> None:
        """Note that a target computes, or uses, a prefix.

        :param target: the target's name
        :param prefix: hashes of growing prefixes
        """
        if not prefix:
            return
        self._last[prefix[-1]] = target
        self._last.move_to_end(prefix[-1])
        if len(self._last) > self._max:
            self._last.popitem(last=False)
        known = self._by_target.setdefault(target, collections.OrderedDict())
        for key in reversed(prefix):
            known[key] = None
            known.move_to_end(key)
        while len(known) > self._sizes.get(target, self._max):
            known.popitem(last=False)

    def find_last(self, prefix: tuple[int, ...]) -> str:
        """Return the target that got the longest part of a prefix last."""
        for key in reversed(prefix):
            if key in self._last:
                return self._last[key]
        return ""

    def confirm(self, target: str, cached: frozenset[int]) -> None:
        """Take in the target's own, late report.

        :param target: the target's name
        :param cached: hashes that it says it has; may have gaps
        """
        known = self._by_target.setdefault(target, collections.OrderedDict())
        for key in cached:
            if key not in known:
                known[key] = None
        while len(known) > self._sizes.get(target, self._max):
            known.popitem(last=False)

    def forget(self, target: str) -> None:
        """Drop what is known of a target."""
        self._by_target.pop(target, None)
        self._sizes.pop(target, None)

    def resize(self, target: str, prefixes: int) -> None:
        """Keep no more of a target's entries than its memory can hold."""
        self._sizes[target] = min(prefixes, self._max)

    def count_hits(self, target: str, prefix: tuple[int, ...]) -> int:
        """Count the leading hashes that a target probably has.

        :param target: the target's name
        :param prefix: hashes of growing prefixes
        :returns: how many of them
        """
        known = self._by_target.get(target)
        if not known or not prefix or prefix[0] not in known:
            return 0
        if prefix[-1] in known:
            return len(prefix)
        for count, key in enumerate(prefix):
            if key not in known:
                return count
        return len(prefix)
