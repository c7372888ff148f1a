"""What a voter must not forget, as an interface."""

import abc

from chivepier.messages import Entry
from chivepier.state.snapshot import Snapshot


class Storage(abc.ABC):
    """Term, vote, log and snapshot of one voter.

    Entries run from ``first_index`` to ``last_index``; those before are in
    the snapshot.  What :meth:`sync` has returned for survives a crash.
    Attributes change only in the event loop's thread, all that belongs
    together in one step, so that a reader never meets a log whose entries
    and first index don't match.
    """

    term: int
    vote: str
    entries: list[Entry]
    snapshot: Snapshot
    # why the disk can't be written since the start, until it is renewed
    refusal: OSError | None = None

    @property
    def first_index(self) -> int:
        """Index of the first entry that is still in the log."""
        return self.snapshot.index + 1

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.snapshot.index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self.entries[-1].term if self.entries else self.snapshot.term

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry.

        :param index: log index
        :returns: its term, or ``None`` when it isn't in the log
        """
        if index == self.snapshot.index:
            return self.snapshot.term
        if self.first_index <= index <= self.last_index:
            return self.entries[index - self.first_index].term
        return None

    def read(self, start: int, limit: int) -> tuple[Entry, ...]:
        """Return entries from an index on.

        :param start: first index wanted; at least ``first_index``
        :param limit: at most so many
        :returns: the entries there are
        """
        offset = start - self.first_index
        return tuple(self.entries[offset : offset + limit])

    @abc.abstractmethod
    async def save_vote(self, term: int, vote: str) -> None:
        """Keep term and vote; synced on return."""

    @abc.abstractmethod
    def append(self, entries: tuple[Entry, ...]) -> None:
        """Add entries at the end; durable only after :meth:`sync`."""

    @abc.abstractmethod
    def truncate(self, index: int) -> None:
        """Drop the entries from ``index`` on, in memory."""

    @abc.abstractmethod
    async def sync(self) -> None:
        """Return once all that was appended is durable."""

    @abc.abstractmethod
    async def save_snapshot(self, snapshot: Snapshot) -> None:
        """Keep a snapshot, synced, and drop the entries it covers."""

    @abc.abstractmethod
    async def renew(self) -> None:
        """Go back to what the disk holds after a write that it refused.

        Memory may be ahead of the disk, and the disk may hold a part of what
        was refused.  What :meth:`sync` has returned for is there in any case.

        :raises OSError: while the disk still refuses
        :raises DamagedError: when a file is damaged before its tail
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Release what is held open."""
