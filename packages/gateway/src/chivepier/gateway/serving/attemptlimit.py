"""How many targets one attempt of a caller may run on."""

import asyncio
import collections.abc

from chivepier.gateway.quarantine import IsReplaced
from chivepier.gateway.serving.liverun import LiveRun
from chivepier.gateway.targets import Liveness
from chivepier.gateway.targets import Target
from chivepier.gateway.targets import TargetState
from chivepier.gateway.targets import TargetTable

Connect = collections.abc.Callable[
    [Target], collections.abc.Awaitable[Liveness | None]
]


class AttemptLimit:
    """Counts the targets that a stream has run on.

    A stream that breaks off again and again at targets that live on would
    else run at all of them. Targets that have ended, or can't be reached any
    more, do not count: they are asked once the limit of the route is reached.
    One at whose address something listens is asked for by its name; without
    its word it counts, as it is not known to have ended.

    :param table: tells whether a target has started again or gone
    :param connect: connects to a target; ``None`` if it may not be asked
    :param is_replaced: tells whether another process answers at its address
    """

    def __init__(
        self, table: TargetTable, connect: Connect, is_replaced: IsReplaced
    ):
        self._table = table
        self._connect = connect
        self._is_replaced = is_replaced

    async def count_runs(self, run: LiveRun) -> int:
        """Return the number of targets that count as having run a stream.

        :param run: the stream, which is not running now
        """
        count = run.earlier_runs + len(run.ran_at)
        if count < run.plan.route.attempts:
            return count
        counted = await asyncio.gather(*map(self._counts, run.ran_at))
        return run.earlier_runs + sum(counted)

    async def _counts(self, target: Target) -> bool:
        known = self._table.get(target.instance)
        if known is None or known.state is TargetState.GONE:
            return False
        if not self._table.is_current(target):
            return False
        match await self._connect(target):
            case None:
                return True
            case Liveness.LIVES:
                replaced = await self._is_replaced(target)
                return not replaced and self._table.is_current(target)
            case _:
                return False
