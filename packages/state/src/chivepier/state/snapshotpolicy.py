"""When a snapshot is worth its cost."""

import attrs


@attrs.frozen(kw_only=True)
class SnapshotPolicy:
    """Bounds on the log between two snapshots.

    A snapshot costs what the whole state takes; with 49,000 teams that is as
    much as 50,000 claims.  Taken every ``entries``, a few thousand claims a
    second would have it written every second.  So the log must also have
    grown as large as the last snapshot: then all snapshots together write no
    more than the log did.  ``most_entries`` bounds a restart's time,
    ``most_bytes`` the log's size in memory.

    >>> policy = SnapshotPolicy()
    >>> policy.is_due(entries=5_000, size=500_000, last_size=9_300_000)
    False
    >>> policy.is_due(entries=5_000, size=500_000, last_size=400_000)
    True
    >>> policy.is_due(entries=50_000, size=5_000_000, last_size=9_300_000)
    True
    """

    entries: int = 4096
    most_entries: int = 50_000
    most_bytes: int = 16 << 20

    def is_due(self, *, entries: int, size: int, last_size: int) -> bool:
        """Tell whether a snapshot is due.

        :param entries: applied since the last one
        :param size: bytes of their commands
        :param last_size: bytes of the last snapshot
        :returns: whether to take one now
        """
        if entries >= self.most_entries:
            return True
        if size >= max(self.most_bytes, last_size):
            return True
        return entries >= self.entries and size >= last_size
