"""Attempts to connect that show whether an entry is cut off."""

import asyncio
import collections.abc
import random

from chivepier.gateway.reach.reach import Reach
from chivepier.gateway.targets import Liveness
from chivepier.gateway.targets import Target
from chivepier.types import Clock

# Seconds between two attempts to reach a service that is out of reach, drawn
# so that entries that were cut off together do not return at one moment.
PROBE_SECONDS = (0.3, 0.5)

Connect = collections.abc.Callable[
    [Target], collections.abc.Awaitable[Liveness | None]
]


class ReachProber:
    """Tries other targets after failures, and one by one during a cut.

    Without failures it sends nothing.

    :param reach: gets the results
    :param connect: connects to a target; returns ``None`` if that isn't
        allowed now
    :param clock: source of monotonic time
    :param rng: draws the times
    """

    def __init__(
        self,
        reach: Reach,
        connect: Connect,
        clock: Clock,
        rng: random.Random,
    ):
        self._reach = reach
        self._connect = connect
        self._clock = clock
        self._rng = rng

    async def run(self) -> None:
        """Probe until cancelled."""
        while True:
            if self._reach.is_quiet:
                await self._reach.failed.wait()
            await self._try_all(self._reach.take_doubtful())
            lost = self._reach.lost_services
            await self._try_all(
                filter(None, map(self._reach.find_next_probe, lost))
            )
            for service in lost:
                self._reach.end_without_targets(service)
            if lost:
                pause = self._rng.uniform(*PROBE_SECONDS)
                await self._reach.forgotten.wait(pause)

    async def _try_all(
        self, targets: collections.abc.Iterable[Target]
    ) -> None:
        await asyncio.gather(*(self._try(target) for target in targets))

    async def _try(self, target: Target) -> None:
        match await self._connect(target):
            case Liveness.LIVES:
                self._reach.note_reached(target)
            case Liveness.ENDED | Liveness.UNKNOWN as found:
                self._reach.note_failed(target, f"probe: {found.value}")
