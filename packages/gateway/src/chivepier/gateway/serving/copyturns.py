"""Serializing the copies of KV caches off a leaving target."""

import asyncio
import collections.abc
import contextlib

from chivepier.gateway.serving.liverun import LiveRun
from chivepier.gateway.serving.liverun import to_milliseconds
from chivepier.gateway.targets import LoadTracker
from chivepier.types import Clock

# Seconds until an announcement of pending copies has reached all entries.
PEER_UPDATE_SECONDS = 0.08
# Interval of checks whether the other entries have finished copying; their
# updates take about as long to arrive.
POLL_INTERVAL_SECONDS = 0.03
# Maximum wait for the copies of other entries: a leaving target gives a notice
# of about two seconds, and another entry may hang.
MAX_WAIT_SECONDS = 1.2


class CopyTurns:
    """Serializes the copies off each target across all entries.

    The copies off one target share its network link and are made one after
    the other. If all were ordered at once, the short second copy of a stopped
    generation would wait behind the long first copies of others.

    :param loads: shares the pending copies with the other entries
    :param clock: source of monotonic time
    """

    def __init__(self, loads: LoadTracker, clock: Clock):
        self._loads = loads
        self._clock = clock
        self._pending: dict[str, set[LiveRun]] = {}
        self._published_at: dict[str, float] = {}
        self._locks: dict[str, asyncio.Lock] = {}

    def announce(self, source: str, runs: set[LiveRun]) -> None:
        """Announce this entry's pending copies to the other entries.

        :param source: the instance that is leaving
        :param runs: its generations that this entry relays
        """
        due = self._pending.setdefault(source, set())
        if runs <= due:
            return
        due |= runs
        self._published_at[source] = self._clock.monotonic()
        self._publish(source)

    def withdraw(self, source: str, run: LiveRun) -> None:
        """Withdraw a pending copy, so that other entries need not wait."""
        due = self._pending.get(source, set())
        if run in due:
            due.discard(run)
            self._publish(source)

    @property
    def sources(self) -> set[str]:
        """The targets with any stored state."""
        return {*self._pending, *self._published_at, *self._locks}

    def forget(self, source: str) -> None:
        """Delete the state of a target that has no generations left."""
        for known in (self._pending, self._published_at, self._locks):
            known.pop(source, None)
        self._loads.set_copy_time(source, 0)

    def _publish(self, source: str) -> None:
        seconds = sum(
            run.estimate_copy_seconds() for run in self._pending[source]
        )
        self._loads.set_copy_time(source, to_milliseconds(seconds))

    @contextlib.asynccontextmanager
    async def take(
        self, source: str, run: LiveRun
    ) -> collections.abc.AsyncIterator[None]:
        """Wait for the turn of a generation and hold it in the context."""
        async with self._locks.setdefault(source, asyncio.Lock()):
            self.announce(source, {run})
            await self._wait_for_turn(source, run)
            self._loads.set_copying(source, True)
            try:
                yield
            finally:
                self._loads.set_copying(source, False)
                self.withdraw(source, run)

    async def _wait_for_turn(self, source: str, run: LiveRun) -> None:
        known = self._published_at[source] + PEER_UPDATE_SECONDS
        await run.wait_for_loss(max(0.0, known - self._clock.monotonic()))
        began = self._clock.monotonic()
        before = self._loads.get_copy_wait_ms(source, began)
        end = began + min(before / 1000, MAX_WAIT_SECONDS)
        while before and self._clock.monotonic() < end:
            await run.wait_for_loss(POLL_INTERVAL_SECONDS)
            if run.lost.is_set():
                return
            before = self._loads.get_copy_wait_ms(
                source, self._clock.monotonic()
            )
