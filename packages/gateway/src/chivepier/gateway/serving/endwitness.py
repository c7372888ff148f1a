"""Evidence of whether a target lived after one of its answers ended."""

import asyncio
import collections.abc
import itertools

from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.metrics import Metrics
from chivepier.gateway.serving.endevidence import EndEvidence
from chivepier.gateway.serving.identity import Identity
from chivepier.gateway.targets import Target
from chivepier.gateway.targets import TargetTable
from chivepier.types import Clock

# Seconds that a process which ends takes to close all that it has open.
SETTLE_SECONDS = 0.01
# Seconds after an end in which its target may be asked once more: the caller
# has all events by then, but gives up after two seconds without the end.
MAX_ASK_SECONDS = 0.8
# Seconds after an end in which an answer is waited for: two attempts to ask.
MAX_EXAMINE_SECONDS = 1.3
# Pause before the second question, doubled before each further one.
FIRST_PAUSE_SECONDS = 0.05

Identify = collections.abc.Callable[
    [Target], collections.abc.Awaitable[Identity]
]


class EndWitness:
    """Tells whether a target lived on after an answer without a length.

    Such a body ends in the same way at a target that has finished and at one
    whose process was killed: the system closes each connection in order. By
    the time the end is read here another process may listen at the address,
    so the incarnation that sent the answer is asked for by its name, a few
    times while it can't be asked or nothing is heard. Ends of one moment at
    one target share a question.

    :param table: tells whether the target has started again
    :param identify: asks which process answers at a target's address
    :param clock: monotonic clock
    :param log: gets a line for each end
    :param metrics: counts ends by what was found
    """

    def __init__(
        self,
        table: TargetTable,
        identify: Identify,
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
    ):
        self._log = log
        self._metrics = metrics
        self._table = table
        self._identify = identify
        self._clock = clock
        self._questions: dict[str, asyncio.Task[Identity]] = {}

    async def examine(self, target: Target, request_id: str) -> EndEvidence:
        """Return what can be known soon of a target's life after an end.

        :param target: the target that has just closed a connection in order
        :param request_id: id of the request whose answer ended so
        """
        began = self._clock.monotonic()
        pause = FIRST_PAUSE_SECONDS
        for questions in itertools.count(1):
            left = began + MAX_EXAMINE_SECONDS - self._clock.monotonic()
            # the first bounds itself, and may last while this process sleeps
            limit = left if questions > 1 else None
            identity = await self._ask_within(target, limit)
            seconds = self._clock.monotonic() - began
            if identity.is_final or seconds + pause > MAX_ASK_SECONDS:
                break
            await self._clock.sleep(pause)
            pause *= 2
        leaving = self._table.is_leaving(target.instance)
        evidence = EndEvidence(identity, questions, seconds, leaving)
        self._metrics.record_end_finding(identity.value)
        self._log.info(
            "end_examined",
            id=request_id,
            target=target.instance,
            born=target.born,
            leaving=leaving,
            answered_by=identity.value,
            questions=questions,
            after_ms=round(1000 * seconds),
            vouched=evidence.is_vouched,
        )
        return evidence

    async def _ask_within(
        self, target: Target, seconds: float | None
    ) -> Identity:
        try:
            async with asyncio.timeout(seconds):
                return await self._ask_if_current(target)
        except TimeoutError:
            return Identity.UNKNOWN

    async def _ask_if_current(self, target: Target) -> Identity:
        if not self._table.is_current(target):
            return Identity.OTHER
        identity = await self._ask_soon(target)
        # its next incarnation may bear the same name
        return identity if self._table.is_current(target) else Identity.OTHER

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
