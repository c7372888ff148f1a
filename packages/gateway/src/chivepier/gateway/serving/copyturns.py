"""Taking turns to copy memory off a target that leaves."""

import asyncio
import collections.abc
import contextlib

from chivepier.gateway.serving.liverun import LiveRun
from chivepier.gateway.serving.liverun import milliseconds
from chivepier.gateway.targets import LoadBoard
from chivepier.types import Clock

# Seconds until entries know of each other what they have to copy.
PEER_UPDATE_SECONDS = 0.08
# Seconds between two looks whether the other entries have copied: news of
# them take as long.
POLL_INTERVAL_SECONDS = 0.03
# Seconds to wait for other entries' copies at most: a target that leaves
# gives a notice of about two seconds, and an entry may be frozen.
MAX_WAIT_SECONDS = 1.2


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
        self._pending: dict[str, set[LiveRun]] = {}
        self._published_at: dict[str, float] = {}
        self._locks: dict[str, asyncio.Lock] = {}

    def announce(self, source: str, runs: set[LiveRun]) -> None:
        """Tell the other entries what this one has to copy.

        :param source: the target that leaves
        :param runs: its generations here
        """
        due = self._pending.setdefault(source, set())
        if runs <= due:
            return
        due |= runs
        self._published_at[source] = self._clock.monotonic()
        self._publish(source)

    def withdraw(self, source: str, run: LiveRun) -> None:
        """Let the others go first: there is no place for it yet."""
        due = self._pending.get(source, set())
        if run in due:
            due.discard(run)
            self._publish(source)

    @property
    def sources(self) -> set[str]:
        """The targets of which anything is known."""
        return {*self._pending, *self._published_at, *self._locks}

    def forget(self, source: str) -> None:
        """Drop what is known of a target without generations."""
        for known in (self._pending, self._published_at, self._locks):
            known.pop(source, None)
        self._board.take_turn(source, 0)

    def _publish(self, source: str) -> None:
        seconds = sum(run.copy_seconds() for run in self._pending[source])
        self._board.take_turn(source, milliseconds(seconds))

    @contextlib.asynccontextmanager
    async def take(
        self, source: str, run: LiveRun
    ) -> collections.abc.AsyncIterator[None]:
        """Hold the turn of one generation."""
        async with self._locks.setdefault(source, asyncio.Lock()):
            self.announce(source, {run})
            await self._wait_for_turn(source, run)
            self._board.note_copying(source, True)
            try:
                yield
            finally:
                self._board.note_copying(source, False)
                self.withdraw(source, run)

    async def _wait_for_turn(self, source: str, run: LiveRun) -> None:
        known = self._published_at[source] + PEER_UPDATE_SECONDS
        await run.await_loss(max(0.0, known - self._clock.monotonic()))
        began = self._clock.monotonic()
        before = self._board.before(source, began)
        end = began + min(before / 1000, MAX_WAIT_SECONDS)
        while before and self._clock.monotonic() < end:
            await run.await_loss(POLL_INTERVAL_SECONDS)
            if run.lost.is_set():
                return
            before = self._board.before(source, self._clock.monotonic())
