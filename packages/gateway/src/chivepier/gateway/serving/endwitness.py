"""Evidence of whether a target has failed as one of its streams ended."""

import collections.abc

from chivepier.gateway.targets import Liveness
from chivepier.gateway.targets import Target
from chivepier.gateway.targets import TargetTable
from chivepier.types import Clock

# Seconds within which the ends of all connections of a process are noticed.
SAME_MOMENT_SECONDS = 0.25
# Seconds to wait for what the other connections of the target do.
SETTLE_SECONDS = 0.01

Probe = collections.abc.Callable[[Target], collections.abc.Awaitable[Liveness]]


class EndWitness:
    """Tells whether a target has just failed, by what else it does.

    A stream without a length ends in the same way at a target that has
    finished and at one whose process has ended between two events. Asking the
    target each time would take a connection for each stream; it is asked only
    where another of its connections has broken in the same moment.

    :param table: tells whether the target has started again
    :param probe: checks whether a target is alive
    :param count_runs: number of streams of an instance that run here
    :param clock: monotonic clock
    """

    def __init__(
        self,
        table: TargetTable,
        probe: Probe,
        count_runs: collections.abc.Callable[[str], int],
        clock: Clock,
    ):
        self._table = table
        self._probe = probe
        self._count_runs = count_runs
        self._clock = clock
        self._broken_at: dict[str, float] = {}

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
        # the stream that has ended is still counted
        if self._count_runs(target.instance) > 1:
            await self._clock.sleep(SETTLE_SECONDS)
        broken_at = self._broken_at.get(target.instance)
        now = self._clock.monotonic()
        if broken_at is None or now - broken_at > SAME_MOMENT_SECONDS:
            return False
        return await self._probe(target) is not Liveness.LIVES
