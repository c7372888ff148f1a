"""What an entry still takes, and how it ends, once it is ordered to stop."""

import asyncio
import collections.abc
import contextlib

from chivepier.gateway.serving.plan import Plan
from chivepier.gateway.serving.requesthold import RequestHold
from chivepier.gateway.serving.servingstate import ServingState
from chivepier.types import Clock
from chivepier.types import ErrorKind
from chivepier.types import RequestError

# Seconds before the end of this process by which a request that is taken late
# must have its answer: it is still to be written.
ANSWER_SECONDS = 0.2


class Departure:
    """Keeps requests from being cut by the end of this process.

    For some seconds after the stop order, requests are taken that may outlast
    it, unless they are expected to; later ones only if their deadline ends
    them before. What waits for a target by then is refused, and what is left
    at the end is answered.

    :param state: when the process ends
    :param clock: source of monotonic time
    :param estimate: returns how many seconds a request is expected to take at
        most; ``None`` if nothing is known of it
    """

    def __init__(
        self,
        state: ServingState,
        clock: Clock,
        estimate: collections.abc.Callable[[Plan], float | None],
    ):
        self._state = state
        self._clock = clock
        self._estimate = estimate
        self._waits: dict[asyncio.Timeout, Plan] = {}
        self._holds: set[RequestHold] = set()

    @property
    def active(self) -> int:
        """Number of requests that have no whole answer yet."""
        return len(self._holds)

    def begin(self, late_at: float, ends_at: float) -> None:
        """Note the stop order.

        :param late_at: from when only requests are taken that must end before
            the process does, in monotonic seconds
        :param ends_at: when the process ends, in monotonic seconds
        """
        self._state.late_at, self._state.ends_at = late_at, ends_at
        for timeout, plan in self._waits.items():
            if not timeout.expired():
                timeout.reschedule(self._find_wait_end(plan))

    def end(self) -> int:
        """End all requests; their callers get an answer that says so.

        What comes later is refused at once.

        :returns: their number
        """
        self._state.ends_at = self._clock.monotonic()
        holds = [hold for hold in self._holds if not hold.timeout.expired()]
        for hold in holds:
            hold.ended = True
            hold.timeout.reschedule(asyncio.get_running_loop().time())
        return len(holds)

    def check(self, plan: Plan) -> None:
        """Refuse a request that may outlast this process.

        Its caller can retry at another instance at once.

        :param plan: the plan of a request that has not run
        :raises RequestError: if it is refused
        """
        last = self._find_last_start(plan)
        if last is not None and self._clock.monotonic() >= last:
            text = "this instance may end before the request would"
            raise RequestError.of(ErrorKind.DRAINING, text)

    def may_repeat(self, plan: Plan, least: float) -> bool:
        """Tell whether another run of a request can end before this process.

        :param plan: the plan of the request
        :param least: seconds that it takes if nothing else is known of it
        """
        ends_at = self._state.ends_at
        if ends_at is None:
            return True
        seconds = self._estimate(plan)
        end = self._clock.monotonic() + (least if seconds is None else seconds)
        return min(end, plan.deadline) <= ends_at - ANSWER_SECONDS

    @contextlib.asynccontextmanager
    async def limit_wait(
        self, plan: Plan, runs: int
    ) -> collections.abc.AsyncIterator[None]:
        """Limit the wait for a target to when :meth:`check` refuses it.

        :param plan: the plan of the request
        :param runs: number of targets that may have run it; then another
            attempt loses nothing
        :raises RequestError: if it has to be refused
        """
        if runs:
            yield
            return
        self.check(plan)
        try:
            async with asyncio.timeout_at(self._find_wait_end(plan)) as limit:
                self._waits[limit] = plan
                try:
                    yield
                finally:
                    del self._waits[limit]
        except TimeoutError:
            if not limit.expired():
                raise
            text = "this instance is about to end, and no target was free"
            raise RequestError.of(ErrorKind.DRAINING, text) from None

    @contextlib.asynccontextmanager
    async def hold(self) -> collections.abc.AsyncIterator[RequestHold]:
        """Answer a request at the latest when this process ends.

        The answer says that it has not run, unless the hold tells otherwise.

        :raises RequestError: when the process ends
        """
        ends_at = self._state.ends_at
        text = "this instance ends"
        if ends_at is not None and self._clock.monotonic() >= ends_at:
            raise RequestError.of(ErrorKind.DRAINING, text)
        hold = None
        try:
            async with asyncio.timeout(None) as limit:
                hold = RequestHold(limit)
                self._holds.add(hold)
                yield hold
        except TimeoutError:
            if not hold.ended:
                raise
            raise RequestError.of(ErrorKind.DRAINING, text, hold.ran) from None
        finally:
            self._holds.discard(hold)

    def _find_last_start(self, plan: Plan) -> float | None:
        """Return the monotonic time from which a request is not sent."""
        state = self._state
        if state.ends_at is None:
            return None
        last_end = state.ends_at - ANSWER_SECONDS
        if plan.deadline <= last_end:
            return None
        last = last_end - (self._estimate(plan) or 0.0)
        return last if state.late_at is None else min(last, state.late_at)

    def _find_wait_end(self, plan: Plan) -> float | None:
        """Return the time of the loop until which a request may wait."""
        last = self._find_last_start(plan)
        if last is None:
            return None
        left = last - self._clock.monotonic()
        return asyncio.get_running_loop().time() + left
