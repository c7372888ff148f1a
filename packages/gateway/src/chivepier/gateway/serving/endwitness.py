"""Evidence of whether a target has failed as one of its answers ended."""

import asyncio
import collections.abc

from chivepier.gateway.targets import Liveness
from chivepier.gateway.targets import Target
from chivepier.gateway.targets import TargetTable
from chivepier.types import Clock

# Seconds within which the ends of all connections of a process are noticed.
SAME_MOMENT_SECONDS = 0.25
# Seconds that a process which ends takes to close all that it has open.
SETTLE_SECONDS = 0.01

Probe = collections.abc.Callable[[Target], collections.abc.Awaitable[Liveness]]


class EndWitness:
    """Tells whether a target has just failed, by what else it does.

    A body without a length ends in the same way at a target that has finished
    and at one whose process was killed: the system closes each connection in
    order. From then on the latter refuses connections, so each such end is
    followed by a probe. Ends of one moment at one target share it.

    :param table: tells whether the target has started again
    :param probe: checks whether a target is alive
    :param clock: monotonic clock
    """

    def __init__(self, table: TargetTable, probe: Probe, clock: Clock):
        self._table = table
        self._probe = probe
        self._clock = clock
        self._broken_at: dict[str, float] = {}
        self._probes: dict[str, asyncio.Task[Liveness]] = {}

    def note_break(self, target: Target) -> None:
        """Record that a connection of a target has broken now."""
        now = self._clock.monotonic()
        self._broken_at = {
            instance: at
            for instance, at in self._broken_at.items()
            if now - at < SAME_MOMENT_SECONDS
        }
        self._broken_at[target.instance] = now

    async def has_failed(self, target: Target) -> bool:
        """Tell whether a target has failed, as far as that can be known soon.

        :param target: the target that has just closed a connection in order
        """
        if not self._table.is_current(target):
            return True
        liveness = await self._probe_soon(target)
        if not self._table.is_current(target):
            # its next incarnation may have answered
            return True
        match liveness:
            case Liveness.ENDED:
                return True
            case Liveness.LIVES:
                return False
            case Liveness.UNKNOWN:
                return self._has_broken(target)

    async def _probe_soon(self, target: Target) -> Liveness:
        task = self._probes.get(target.instance)
        if task is None:
            task = asyncio.create_task(self._probe_settled(target))
            self._probes[target.instance] = task
        return await asyncio.shield(task)

    async def _probe_settled(self, target: Target) -> Liveness:
        try:
            await self._clock.sleep(SETTLE_SECONDS)
        finally:
            # an end from now on is not covered by this probe
            del self._probes[target.instance]
        return await self._probe(target)

    def _has_broken(self, target: Target) -> bool:
        broken_at = self._broken_at.get(target.instance)
        if broken_at is None:
            return False
        return self._clock.monotonic() - broken_at <= SAME_MOMENT_SECONDS
