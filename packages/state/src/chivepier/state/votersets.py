"""Which sets of voters the log names."""

from chivepier.messages import decode
from chivepier.messages import encode
from chivepier.messages import Entry
from chivepier.messages import Voter
from chivepier.messages import VotersCommand

# what every encoded VotersCommand begins with; comparing it spares decoding
# each entry of a long log
PREFIX = encode(VotersCommand(()))[:3]


class VoterSets:
    """The sets of voters by log index, the latest in use.

    A set counts from the moment its entry is in the log, committed or not:
    a majority of the old and one of the new set always share a voter, as
    long as the two differ by one voter only.
    """

    def __init__(self) -> None:
        self._sets: list[tuple[int, tuple[Voter, ...]]] = [(0, ())]

    @property
    def latest(self) -> tuple[Voter, ...]:
        """The set in use."""
        return self._sets[-1][1]

    @property
    def latest_index(self) -> int:
        """Where the log names the set in use."""
        return self._sets[-1][0]

    def reset(
        self, index: int, voters: tuple[Voter, ...], entries: list[Entry]
    ) -> None:
        """Start anew from a snapshot and the log behind it.

        :param index: the snapshot's index
        :param voters: its voters
        :param entries: the log
        """
        self._sets = [(index, voters)]
        self.add(tuple(entries))

    def add(self, entries: tuple[Entry, ...]) -> None:
        """Note the sets that new entries name.

        :param entries: entries that are now in the log
        """
        for entry in entries:
            if entry.command.startswith(PREFIX):
                command = decode(entry.command)
                self._sets.append((entry.index, command.voters))

    def truncate(self, index: int) -> None:
        """Forget the sets that overwritten entries named.

        :param index: the first entry that was dropped
        """
        while len(self._sets) > 1 and self._sets[-1][0] >= index:
            self._sets.pop()
