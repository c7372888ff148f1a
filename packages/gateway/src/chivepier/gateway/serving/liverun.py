"""State of a generation that is being relayed."""

import asyncio
import collections.abc
import contextlib

import attrs

from chivepier.gateway.config import Service
from chivepier.gateway.serving.callerrequest import CallerRequest
from chivepier.gateway.serving.eventsplitter import is_known_event
from chivepier.gateway.serving.handoff import Handoff
from chivepier.gateway.serving.plan import Plan
from chivepier.gateway.targets import Eligibility
from chivepier.gateway.targets import Target

# Factor by which a copy takes longer to another availability zone.
CROSS_ZONE_COPY_FACTOR = 2.0
# Seconds that the calls of one migration add to the copying: two copies are
# requested and answered in some milliseconds each, but targets may be slow.
MOVE_CALLS_SECONDS = 0.06


@attrs.define(eq=False)
class LiveRun:
    """A generation at its current target and the state of its migration.

    :param plan: the plan of the request
    :param target: the target that runs it
    :param counted_tokens: KV cache reported to other entries, in tokens: the
        current size and the growth of the next seconds
    :param prefill_tokens: tokens that its target prefills for it
    :param prefill_backlog: tokens that its target prefills before its first
        event, its own included
    :param sent_at: when it was sent to its target, in monotonic seconds
    :param heard_at: when its target last sent anything, in monotonic seconds;
        initially ``sent_at``
    :param movable: whether it is migrated when its target leaves. One that may
        be rerun is short: it is left to finish, or to be rerun. One without
        numbers can't be resumed anywhere.
    :param last_event_number: number of the last event that the caller has,
        by this attempt or an earlier one; ``None`` before the first, or if it
        has no number
    :param relayed_events: how many events with a number the caller got by
        this attempt: a series may begin with any number, and leave some out
    :param earlier_tokens: what earlier attempts generated of the stream, in
        tokens, as far as the id tells that its caller sent
    :param first_event_at: when its target sent the first event, in monotonic
        seconds; ``None`` until then
    :param handoff: result of the migration in progress, if any
    :param stopped: whether its target was ordered to stop it for a migration
    :param stop_uncertain: whether the order to stop may not have arrived
    :param moved: whether it has been resumed at another target
    :param taken_back: whether it was resumed where it had been stopped
    :param ended: whether its relaying has ended
    :param lost: set when its target has ended the stream
    :param aborted: whether :meth:`abort` was called at its current target
    :param forwarded: whether another entry serves it; then nothing is known
        of its targets here
    :param software_version: version of the targets' software that wrote what
        its caller has; ``None`` while that is nothing, empty if it is not
        known
    :param known_sound: whether its target has lived on with it for so long
        that no part of its prompt can have ended it
    :param withdrawn: whether it was ended here as its request is held back
    :param earlier_runs: number of targets that may have run the request
        before it was tracked, or behind other entries
    :param ran_at: the targets that it began to run at; where it was moved to
        with its KV cache, it is the same run
    :param wait_timeout: timeout of the current wait for its target
    """

    plan: Plan
    target: Target
    counted_tokens: int
    prefill_tokens: int = 0
    prefill_backlog: int = 0
    sent_at: float = 0.0
    heard_at: float = 0.0
    movable: bool = False
    last_event_number: int | None = attrs.field()
    relayed_events: int = 0
    earlier_tokens: int = attrs.field(init=False)
    first_event_at: float | None = None
    handoff: asyncio.Future[Handoff | None] | None = None
    stopped: bool = False
    stop_uncertain: bool = False
    moved: bool = False
    taken_back: bool = False
    ended: bool = False
    lost: asyncio.Event = attrs.field(factory=asyncio.Event)
    aborted: bool = False
    forwarded: bool = False
    software_version: str | None = None
    known_sound: bool = False
    withdrawn: bool = False
    earlier_runs: int = 0
    ran_at: list[Target] = attrs.field(factory=list)
    wait_timeout: asyncio.Timeout | None = None

    @last_event_number.default
    def _find_last_event_number(self) -> int | None:
        return self.request.last_event_number

    @earlier_tokens.default
    def _estimate_earlier_tokens(self) -> int:
        prompt, engine = self.request.prompt, self.service.engine
        number = self.request.last_event_number
        if prompt is None or engine is None or number is None:
            return 0
        # the number tells it only if the series began with 1
        return min(number * engine.event_tokens, prompt.max_output)

    @property
    def request(self) -> CallerRequest:
        """The request of the caller."""
        return self.plan.request

    @property
    def service(self) -> Service:
        """The service whose targets may run it."""
        return self.plan.service

    @property
    def eligibility(self) -> Eligibility:
        """The targets at which it may go on, of its version once begun."""
        if self.software_version is None:
            return self.plan.eligibility
        return Eligibility(self.plan.regions, self.software_version)

    @property
    def copy_eligibility(self) -> Eligibility:
        """The targets that can use its KV cache, of the version that made it.

        A run may be moved before its caller has its first event.
        """
        return Eligibility(self.plan.regions, self.target.software_version)

    @property
    def held_tokens(self) -> int:
        """Current size of its KV cache, in tokens."""
        prompt = self.request.prompt
        engine = self.service.engine
        if prompt is None or engine is None:
            return self.counted_tokens
        made = self.relayed_events * engine.event_tokens
        return prompt.tokens + self.earlier_tokens + made

    @property
    def last_event(self) -> str | None:
        """Id of the last event that the caller has, to be sent to targets.

        Until it has one of this attempt, it is what the caller sent.
        """
        if self.relayed_events:
            return str(self.last_event_number)
        return self.request.last_event

    def has_relayed(self, number: int | None) -> bool:
        """Tell whether the caller has an event; the next target may repeat it.

        :param number: number of the event; ``None`` if it has none
        """
        return is_known_event(number, self.last_event_number)

    def note_relayed(self, number: int) -> None:
        """Record that the caller gets an event.

        :param number: number of the event
        """
        self.last_event_number = number
        self.relayed_events += 1

    def estimate_copy_seconds(self) -> float:
        """Return the seconds to copy its KV cache to another zone."""
        engine = self.service.engine
        if engine is None:
            return 0.0
        return (
            CROSS_ZONE_COPY_FACTOR * self.held_tokens * engine.token_seconds
            + MOVE_CALLS_SECONDS
        )

    async def wait_for_loss(self, seconds: float) -> None:
        """Wait until its target has ended the stream or a time is over.

        :param seconds: longest wait, in seconds
        """
        try:
            async with asyncio.timeout(seconds):
                await self.lost.wait()
        except TimeoutError:
            return

    @contextlib.asynccontextmanager
    async def limit_wait(
        self, seconds: float | None
    ) -> collections.abc.AsyncIterator[asyncio.Timeout]:
        """Limit a wait for its target, which :meth:`abort` ends too.

        :param seconds: timeout in seconds; ``None`` for no timeout
        :raises TimeoutError: after the timeout, or when it is aborted
        """
        if self.aborted:
            raise TimeoutError
        try:
            async with asyncio.timeout(seconds) as self.wait_timeout:
                yield self.wait_timeout
        finally:
            self.wait_timeout = None

    def abort(self) -> None:
        """End the current wait for its target, and all later ones at once.

        Used when the target has restarted or gone, among others. After a
        network partition the connection to the previous incarnation may stay
        open and silent; the caller would wait until its deadline.
        """
        self.aborted = True
        self.lost.set()
        timeout = self.wait_timeout
        if timeout is not None and not timeout.expired():
            timeout.reschedule(asyncio.get_running_loop().time())

    def resume_at(self, target: Target, now: float) -> None:
        """Record that it has been resumed, mostly at another target.

        :param target: the target that has answered
        :param now: the current time, in monotonic seconds
        """
        self.taken_back = target.instance == self.target.instance
        self._continue_at(target, now)
        self.forwarded = False
        # its KV cache is copied, so nothing is prefilled
        self.prefill_tokens = 0
        self.first_event_at = None

    def forward_to(self, target: Target, now: float) -> None:
        """Record that another entry serves it from now on.

        :param target: what stands for the targets of that entry
        :param now: the current time, in monotonic seconds
        """
        self.taken_back = False
        self._continue_at(target, now)
        self.first_event_at = now
        self.forwarded = True

    def _continue_at(self, target: Target, now: float) -> None:
        self.target = target
        self.sent_at = self.heard_at = now
        self.moved = True
        self.handoff = None
        self.stopped = self.stop_uncertain = False
        self.aborted = False
        self.lost.clear()


def to_milliseconds(seconds: float) -> int:
    """Convert seconds to whole milliseconds, the unit of node messages."""
    return round(1000 * seconds)
