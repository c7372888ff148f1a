"""Taking turns to copy memory off a target that leaves."""

import asyncio
import collections.abc
import contextlib

from chivepier.gateway.serving.liverun import LiveRun
from chivepier.gateway.serving.liverun import to_milliseconds
from chivepier.gateway.targets import LoadBoard
from chivepier.types import Clock

# Seconds until entries know of each other what they have to copy.
EXCHANGE_SECONDS = 0.08
# Seconds between two looks whether the other entries have copied: news of
# them take as long.
LOOK_SECONDS = 0.03
# Seconds to wait for other entries' copies at most: a target that leaves
# gives a notice of about two seconds, and an entry may be frozen.
MOST_SECONDS = 1.2


class CopyTurns:
    """Lets one generation at a time be copied off a target, over all entries.

    All copies of one target share its link, one after the other. Asked for at
    once, the short second copies would wait behind other generations' long
    first ones, with their own stopped meanwhile.

    :param board: what the other entries have to copy
    :param clock: monotonic time
    """

    def __init__(self, board: LoadBoard, clock: Clock):
        self._board = board
        self._clock = clock
        self._due: dict[str, set[LiveRun]] = {}
        self._told: dict[str, float] = {}
        self._locks: dict[str, asyncio.Lock] = {}

    def expect(self, source: str, runs: set[LiveRun]) -> None:
        """Tell the other entries what this one has to copy.

        :param source: the target that leaves
        :param runs: its generations here
        """
        due = self._due.setdefault(source, set())
        if runs <= due:
            return
        due |= runs
        self._told[source] = self._clock.monotonic()
        self._tell(source)

    def skip(self, source: str, run: LiveRun) -> None:
        """Let the others go first: there is no place for it yet."""
        due = self._due.get(source, set())
        if run in due:
            due.discard(run)
            self._tell(source)

    @property
    def sources(self) -> set[str]:
        """The targets of which anything is known."""
        return {*self._due, *self._told, *self._locks}

    def forget(self, source: str) -> None:
        """Drop what is known of a target without generations."""
        for known in (self._due, self._told, self._locks):
            known.pop(source, None)
        self._board.take_turn(source, 0)

    def _tell(self, source: str) -> None:
        seconds = sum(run.estimate_copy_seconds() for run in self._due[source])
        self._board.take_turn(source, to_milliseconds(seconds))

    @contextlib.asynccontextmanager
    async def take(
        self, source: str, run: LiveRun
    ) -> collections.abc.AsyncIterator[None]:
        """Hold the turn of one generation."""
        async with self._locks.setdefault(source, asyncio.Lock()):
            self.expect(source, {run})
            await self._wait(source, run)
            self._board.note_copying(source, True)
            try:
                yield
            finally:
                self._board.note_copying(source, False)
                self.skip(source, run)

    async def _wait(self, source: str, run: LiveRun) -> None:
        known = self._told[source] + EXCHANGE_SECONDS
        await run.wait_for_loss(max(0.0, known - self._clock.monotonic()))
        began = self._clock.monotonic()
        before = self._board.before(source, began)
        end = began + min(before / 1000, MOST_SECONDS)
        while before and self._clock.monotonic() < end:
            await run.wait_for_loss(LOOK_SECONDS)
            if run.lost.is_set():
                return
            before = self._board.before(source, self._clock.monotonic())
