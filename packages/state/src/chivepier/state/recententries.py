"""The newest applied entries."""

import collections
import collections.abc

from chivepier.messages import Entry

MAX_ENTRIES = 2_000
MAX_BYTES = 4 << 20


class RecentEntries:
    """Applied entries that others may still ask for, within two bounds.

    Bounded by bytes too: an entry can be as large as a whole configuration,
    and a few thousand of those are more than a small instance's memory.

    :param max_entries: at most so many are kept
    :param max_bytes: at most so many bytes of commands are kept

    >>> recent = RecentEntries(max_bytes=5)
    >>> for index in (1, 2, 3):
    ...     recent.append(Entry(1, index, b"abc"))
    >>> [entry.index for entry in recent]
    [3]
    """

    def __init__(
        self, max_entries: int = MAX_ENTRIES, max_bytes: int = MAX_BYTES
    ):
        self._max_entries = max_entries
        self._max_bytes = max_bytes
        self._bytes = 0
        self._entries: collections.deque[Entry] = collections.deque()

    def __iter__(self) -> collections.abc.Iterator[Entry]:
        return iter(self._entries)

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def first_index(self) -> int | None:
        """Index of the oldest entry that is kept; ``None`` without one."""
        return self._entries[0].index if self._entries else None

    def append(self, entry: Entry) -> None:
        """Add the newest entry and drop the oldest ones over a bound.

        :param entry: the entry after the last one
        """
        self._entries.append(entry)
        self._bytes += len(entry.command)
        while (
            len(self._entries) > self._max_entries
            or self._bytes > self._max_bytes
        ):
            self._bytes -= len(self._entries.popleft().command)

    def clear(self) -> None:
        """Drop all entries."""
        self._entries.clear()
        self._bytes = 0
