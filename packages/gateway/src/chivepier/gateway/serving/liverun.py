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
CROSS_ZONE_COPY_FACTOR = 2.0
# Seconds that the calls of one move take besides: two copies are asked for
# and answered, some milliseconds each, and a target is sometimes slow.
MOVE_CALLS_SECONDS = 0.06


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
    counted_tokens: int
    prefill_tokens: int = 0
    prefill_backlog: int = 0
    sent_at: float = 0.0
    heard_at: float = 0.0
    movable: bool = False
    last_event_number: int = 0
    first_event_at: float | None = None
    handoff: asyncio.Future[Handoff | None] | None = None
    stopped: bool = False
    stop_uncertain: bool = False
    moved: bool = False
    ended: bool = False
    lost: asyncio.Event = attrs.field(factory=asyncio.Event)
    target_restarted: bool = False
    wait_timeout: asyncio.Timeout | None = None

    @property
    def request(self) -> CallerRequest:
        """The caller's."""
        return self.plan.request

    @property
    def service(self) -> Service:
        """Whose targets may run it."""
        return self.plan.service

    @property
    def held_tokens(self) -> int:
        """Memory that it takes now, in tokens."""
        prompt = self.request.prompt
        engine = self.service.engine
        if prompt is None or engine is None:
            return self.counted_tokens
        return prompt.tokens + self.last_event_number * engine.event_tokens

    def estimate_copy_seconds(self) -> float:
        """Return how long its memory takes to another availability zone."""
        engine = self.service.engine
        if engine is None:
            return 0.0
        return (
            CROSS_ZONE_COPY_FACTOR * self.held_tokens * engine.token_seconds
            + MOVE_CALLS_SECONDS
        )

    async def wait_for_loss(self, seconds: float) -> None:
        """Return after a time, or at once when its target breaks off.

        :param seconds: at most
        """
        try:
            async with asyncio.timeout(seconds):
                await self.lost.wait()
        except TimeoutError:
            return

    @contextlib.asynccontextmanager
    async def limit_wait(
        self, seconds: float | None
    ) -> collections.abc.AsyncIterator[None]:
        """Bound a wait for its target, which :meth:`break_off` ends too.

        :param seconds: at most; ``None`` for no other bound
        :raises TimeoutError: when it is over or broken off
        """
        if self.target_restarted:
            raise TimeoutError
        try:
            async with asyncio.timeout(seconds) as self.wait_timeout:
                yield
        finally:
            self.wait_timeout = None

    def note_restart(self) -> None:
        """Note that its target has started again and knows nothing of it.

        Behind a cut the connection to the earlier life stays open and says
        nothing more; its caller would wait until it leaves by itself.
        """
        self.target_restarted = True
        self.lost.set()
        limit = self.wait_timeout
        if limit is not None and not limit.expired():
            limit.reschedule(asyncio.get_running_loop().time())

    def resume_at(self, target: Target, now: float) -> None:
        """Note that it goes on at another target.

        :param target: that has answered
        :param now: monotonic seconds
        """
        self.target = target
        self.sent_at = self.heard_at = now
        self.moved = True
        # its memory comes with it
        self.prefill_tokens = 0
        self.first_event_at = None
        self.handoff = None
        self.stopped = self.stop_uncertain = False
        self.target_restarted = False
        self.lost.clear()


def to_milliseconds(seconds: float) -> int:
    """Return seconds as whole milliseconds, as nodes tell each other."""
    return round(1000 * seconds)
