"""Cache memory in blocks, with cached prefixes."""

import collections

BLOCK_TOKENS = 16
BLOCK_CHARS = 256
PREFIX_TOKENS = 64


class Memory:
    """Blocks held by streams, and prefixes kept for as long as there's room.

    A prefix is known by a hash that is salted by team, so no team's prompt
    is served from another's cache.  Cached prefixes make room at once when
    a stream needs it, oldest first.

    :param tokens: capacity
    """

    def __init__(self, tokens: int):
        self.blocks = tokens // BLOCK_TOKENS
        self._held: dict[str, int] = {}
        self._cached: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )

    @property
    def used(self) -> int:
        """Blocks that streams hold."""
        return sum(self._held.values())

    @property
    def used_tokens(self) -> int:
        """The same in tokens."""
        return self.used * BLOCK_TOKENS

    def hold(self, stream: str, tokens: int) -> bool:
        """Hold the blocks for a stream of so many tokens.

        :param stream: the stream's identifier
        :param tokens: prompt and output so far
        :returns: false, changing nothing, when there is no room
        """
        wanted = -(-tokens // BLOCK_TOKENS)
        others = self.used - self._held.get(stream, 0)
        if others + wanted > self.blocks:
            return False
        self._held[stream] = wanted
        self._trim()
        return True

    def drop(self, stream: str) -> None:
        """Give a stream's blocks back."""
        self._held.pop(stream, None)

    def keep_prefixes(self, hashes: tuple[int, ...]) -> None:
        """Remember a finished prefill's prefixes."""
        for value in hashes:
            self._cached[value] = None
            self._cached.move_to_end(value)
        self._trim()

    def match(self, hashes: tuple[int, ...]) -> int:
        """Return how many leading prompt tokens are cached."""
        tokens = 0
        for value in hashes:
            if value not in self._cached:
                break
            tokens += PREFIX_TOKENS
        return tokens

    def cached(self) -> list[int]:
        """Return the cached prefixes, the newest last."""
        return list(self._cached)

    def _trim(self) -> None:
        free = (self.blocks - self.used) * BLOCK_TOKENS // PREFIX_TOKENS
        while len(self._cached) > max(0, free):
            self._cached.popitem(last=False)
