"""A generation that is being relayed."""

import asyncio
import collections.abc
import contextlib

import attrs

from chivepier.gateway.config import Service
from chivepier.gateway.serving.callerrequest import CallerRequest
from chivepier.gateway.serving.handoff import Handoff
from chivepier.gateway.serving.plan import Plan
from chivepier.gateway.targets import Target

# A copy to another availability zone takes this many times as long.
FAR_FACTOR = 2.0
# Seconds that the calls of one move take besides: two copies are asked for
# and answered, some milliseconds each, and a target is sometimes slow.
CALL_SECONDS = 0.06


@attrs.define(eq=False)
class LiveRun:
    """Where a generation runs, and where it goes on when it must leave.

    :param plan: the request's
    :param target: where it runs
    :param counted: memory that other entries are told of: what it takes now
        and within the next seconds
    :param reading: tokens that its target reads in before its first event
    :param ahead: tokens that are read there until its first event, its own
        included
    :param sent: when it was sent there, in monotonic seconds
    :param heard: when anything last came from its target, in monotonic
        seconds; when it was sent there until then
    :param moves: whether it is moved when its target leaves: one that may be
        run anew is short, and better left to end or to be run again
    :param number: of the last event that the caller has
    :param began: when its first event came from this target, in monotonic
        seconds; ``None`` until then
    :param handoff: set while its memory is being moved elsewhere
    :param stopped: whether its target was told to stop it for a move
    :param doubtful: whether the order to stop may not have come
    :param moved: whether it has gone on at another target
    :param ended: whether nothing is relayed any more
    :param lost: set when its target has broken off
    :param broken: whether its target has started again and lost it
    :param limit: bounds what is being waited for from its target
    """

    plan: Plan
    target: Target
    counted: int
    reading: int = 0
    ahead: int = 0
    sent: float = 0.0
    heard: float = 0.0
    moves: bool = False
    number: int = 0
    began: float | None = None
    handoff: asyncio.Future[Handoff | None] | None = None
    stopped: bool = False
    doubtful: bool = False
    moved: bool = False
    ended: bool = False
    lost: asyncio.Event = attrs.field(factory=asyncio.Event)
    broken: bool = False
    limit: asyncio.Timeout | None = None

    @property
    def request(self) -> CallerRequest:
        """The caller's."""
        return self.plan.request

    @property
    def service(self) -> Service:
        """Whose targets may run it."""
        return self.plan.service

    @property
    def held(self) -> int:
        """Memory that it takes now, in tokens."""
        prompt = self.request.prompt
        engine = self.service.engine
        if prompt is None or engine is None:
            return self.counted
        return prompt.tokens + self.number * engine.event_tokens

    def copy_seconds(self) -> float:
        """Return how long its memory takes to another availability zone."""
        engine = self.service.engine
        if engine is None:
            return 0.0
        return FAR_FACTOR * self.held * engine.token_seconds + CALL_SECONDS

    async def await_loss(self, seconds: float) -> None:
        """Return after a time, or at once when its target breaks off.

        :param seconds: at most
        """
        try:
            async with asyncio.timeout(seconds):
                await self.lost.wait()
        except TimeoutError:
            return

    @contextlib.asynccontextmanager
    async def bound(
        self, seconds: float | None
    ) -> collections.abc.AsyncIterator[None]:
        """Bound a wait for its target, which :meth:`break_off` ends too.

        :param seconds: at most; ``None`` for no other bound
        :raises TimeoutError: when it is over or broken off
        """
        if self.broken:
            raise TimeoutError
        try:
            async with asyncio.timeout(seconds) as self.limit:
                yield
        finally:
            self.limit = None

    def break_off(self) -> None:
        """Note that its target has started again and knows nothing of it.

        Behind a cut the connection to the earlier life stays open and says
        nothing more; its caller would wait until it leaves by itself.
        """
        self.broken = True
        self.lost.set()
        limit = self.limit
        if limit is not None and not limit.expired():
            limit.reschedule(asyncio.get_running_loop().time())

    def go_on(self, target: Target, now: float) -> None:
        """Note that it goes on at another target.

        :param target: that has answered
        :param now: monotonic seconds
        """
        self.target = target
        self.sent = self.heard = now
        self.moved = True
        # its memory comes with it
        self.reading = 0
        self.began = None
        self.handoff = None
        self.stopped = self.doubtful = False
        self.broken = False
        self.lost.clear()


def milliseconds(seconds: float) -> int:
    """Return seconds as whole milliseconds, as nodes tell each other."""
    return round(1000 * seconds)
