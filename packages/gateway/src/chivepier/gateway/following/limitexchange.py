"""Telling which limits targets named here, and hearing of the others'."""

import collections.abc

from chivepier.gateway.following.limitstanding import LimitStanding
from chivepier.gateway.limits import LimitTable
from chivepier.gateway.limits import pack_limits
from chivepier.gateway.limits import unpack_limits
from chivepier.gateway.limits import VersionedLimit
from chivepier.gateway.messages import EntryBeatAnswer
from chivepier.gateway.messages import LimitRecord
from chivepier.gateway.targets import Target
from chivepier.types import Clock
from chivepier.types import Signal


class LimitExchange:
    """Keeps the limits that all entries know of alike.

    An entry tells every voter, at once and with each beat until that voter
    has confirmed it; a voter tells its followers at once, and whoever else
    beats. So any one voter that two entries both hear is enough for them. A
    voter that started anew is told all that is known here.

    :ivar changed: set when a target told this entry something new

    :param board: of this entry
    :param clock: monotonic time
    """

    def __init__(self, board: LimitTable, clock: Clock):
        self.changed = Signal()
        self._board = board
        self._clock = clock
        board.watchers.append(self._note_word)

    @property
    def revision(self) -> int:
        """Of this entry's board; what a beat tells goes up to it."""
        return self._board.revision

    def _note_word(
        self, word: VersionedLimit, before: VersionedLimit | None
    ) -> None:
        self.changed.set()

    def find_untold(self, standing: LimitStanding) -> tuple[LimitRecord, ...]:
        """Return what a voter lacks."""
        words = self._board.find_newer(
            standing.told or 0, own_only=standing.told is not None
        )
        return pack_limits(words, self._clock.monotonic())

    def take(self, records: tuple[LimitRecord, ...]) -> None:
        """Take what a voter tells."""
        for word in unpack_limits(records, self._clock.monotonic()):
            self._board.put(word)

    def expire(self, targets: collections.abc.Iterable[Target]) -> None:
        """Drop what is believed of targets that are not known any more.

        :param targets: that are known
        """
        self._board.expire(target.instance for target in targets)

    def take_answer(
        self,
        standing: LimitStanding,
        answer: EntryBeatAnswer,
        told: int | None,
    ) -> None:
        """Take a voter's answer to a beat.

        :param standing: of that voter
        :param answer: its answer
        :param told: revision up to which it now has all that was told here;
            ``None`` where it started anew since the beat was composed
        """
        standing.told = told
        standing.held = answer.limits_revision
        self.take(answer.limits)
