"""The prefix cache of a fake engine."""

import collections

PREFIX_TOKENS = 64


class PrefixCache:
    """Blocks of prompt prefixes; idle ones are evicted, oldest first.

    Hashes are salted by team, so that teams never share an entry.  Each
    entry is :data:`PREFIX_TOKENS` long.

    >>> cache = PrefixCache()
    >>> cache.insert(7)
    >>> cache.drop(7)
    >>> cache.match((7, 8))
    1
    """

    def __init__(self) -> None:
        self._used: dict[int, int] = {}
        self._idle: collections.OrderedDict[int, None]
        self._idle = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._used) + len(self._idle)

    @property
    def idle(self) -> int:
        """Entries that nothing running uses."""
        return len(self._idle)

    def match(self, chain: tuple[int, ...]) -> int:
        """Count the leading hashes that are cached.

        :param chain: hashes of growing prefixes
        :returns: how many of them, from the start, are cached
        """
        for count, key in enumerate(chain):
            if key not in self._used and key not in self._idle:
                return count
        return len(chain)

    def take(self, key: int) -> None:
        """Count one more user of an entry."""
        if key in self._idle:
            del self._idle[key]
            self._used[key] = 1
        else:
            self._used[key] += 1

    def insert(self, key: int) -> None:
        """Add an entry with one user."""
        self._used[key] = 1

    def drop(self, key: int) -> None:
        """Count one user less; without users the entry is idle."""
        users = self._used[key] - 1
        if users:
            self._used[key] = users
            return
        del self._used[key]
        self._idle[key] = None

    def evict(self) -> None:
        """Forget the idle entry that was used longest ago."""
        self._idle.popitem(last=False)

    def keys(self) -> frozenset[int]:
        """Return all cached hashes."""
        return frozenset(self._used) | frozenset(self._idle)
