"""Evidence of whether a target lived after one of its answers ended."""

import asyncio
import collections.abc

from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.serving.endevidence import EndEvidence
from chivepier.gateway.serving.identity import Identity
from chivepier.gateway.targets import Target
from chivepier.gateway.targets import TargetTable
from chivepier.types import Clock

# Seconds within which the ends of all connections of a process are noticed.
SAME_MOMENT_SECONDS = 0.25
# Seconds that a process which ends takes to close all that it has open.
SETTLE_SECONDS = 0.01

Identify = collections.abc.Callable[
    [Target], collections.abc.Awaitable[Identity]
]
IsConnected = collections.abc.Callable[[Target], bool]


class EndWitness:
    """Tells whether a target lived on after an answer without a length.

    Such a body ends in the same way at a target that has finished and at one
    whose process was killed: the system closes each connection in order. By
    the time the end is read here another process may listen at the address,
    so the incarnation that sent the answer is asked for by its name. Ends of
    one moment at one target share the question.

    :param table: tells whether the target has started again
    :param identify: asks which process answers at a target's address
    :param is_connected: tells whether a connection on which an incarnation has
        answered is still open
    :param clock: monotonic clock
    :param log: gets a line for each end
    """

    def __init__(
        self,
        table: TargetTable,
        identify: Identify,
        is_connected: IsConnected,
        clock: Clock,
        log: EventLog,
    ):
        self._log = log
        self._table = table
        self._identify = identify
        self._is_connected = is_connected
        self._clock = clock
        self._broken_at: dict[str, float] = {}
        self._questions: dict[str, asyncio.Task[Identity]] = {}

    def note_break(self, target: Target) -> None:
        """Record that a connection of a target has broken now."""
        now = self._clock.monotonic()
        self._broken_at = {
            instance: at
            for instance, at in self._broken_at.items()
            if now - at < SAME_MOMENT_SECONDS
        }
        self._broken_at[target.instance] = now

    async def examine(self, target: Target, request_id: str) -> EndEvidence:
        """Return what can be known soon of a target's life after an end.

        :param target: the target that has just closed a connection in order
        :param request_id: id of the request whose answer ended so
        """
        began = self._clock.monotonic()
        identity = Identity.OTHER
        if self._table.is_current(target):
            identity = await self._ask_soon(target)
        if not self._table.is_current(target):
            # its next incarnation may bear the same name
            identity = Identity.OTHER
        connected = (
            identity is Identity.UNKNOWN
            and self._is_connected(target)
            and not self._has_broken(target)
        )
        seconds = self._clock.monotonic() - began
        evidence = EndEvidence(identity, connected, seconds)
        self._log.info(
            "end_examined",
            id=request_id,
            target=target.instance,
            born=target.born,
            answered_by=identity.value,
            connected=connected,
            after_ms=round(1000 * seconds),
            lived=evidence.shows_life,
        )
        return evidence

    async def _ask_soon(self, target: Target) -> Identity:
        question = self._questions.get(target.instance)
        if question is None:
            question = asyncio.create_task(self._ask_settled(target))
            self._questions[target.instance] = question
        return await asyncio.shield(question)

    async def _ask_settled(self, target: Target) -> Identity:
        try:
            await self._clock.sleep(SETTLE_SECONDS)
        finally:
            # an end from now on is not covered by this question
            del self._questions[target.instance]
        return await self._identify(target)

    def _has_broken(self, target: Target) -> bool:
        broken_at = self._broken_at.get(target.instance)
        if broken_at is None:
            return False
        return self._clock.monotonic() - broken_at <= SAME_MOMENT_SECONDS
