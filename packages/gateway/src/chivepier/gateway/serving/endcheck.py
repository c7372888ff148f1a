"""The check of a stream's end at another target than the one that sent it."""

from chivepier.gateway.serving.bodyend import BodyEnd
from chivepier.gateway.serving.continuation import Continuation
from chivepier.gateway.serving.dispatcher import Dispatcher
from chivepier.gateway.serving.eventsplitter import is_unfinished
from chivepier.gateway.serving.liverun import LiveRun
from chivepier.gateway.serving.plan import Plan
from chivepier.gateway.serving.vouchedend import VouchedEnd

# Seconds for another target to be asked, and to tell, what follows the last
# event: the caller has all events, and gives up after two without the end.
CONFIRM_SECONDS = 1.0
# Seconds after an end in which such a check may begin.
MAX_VOUCH_SECONDS = 0.8


class EndCheck:
    """Whether a vouched end is checked, for how long, and what came of it.

    :param dispatcher: bounds the checks of a service
    :param plan: the plan of the request
    :ivar vouched: the end that is or was checked, if nothing has followed it
    :ivar is_disputed: whether a target that was asked what follows has failed
        to tell, and may have had more
    """

    def __init__(self, dispatcher: Dispatcher, plan: Plan):
        self._dispatcher = dispatcher
        self._plan = plan
        self.vouched: VouchedEnd | None = None
        self.is_disputed = False
        # in monotonic seconds
        self._until: float | None = None
        # whether an event without a number is the last that the caller has
        self._is_past_number = False

    @property
    def is_under_way(self) -> bool:
        """Whether nothing has followed the end that is being checked."""
        return self._until is not None

    def may_begin(self, run: LiveRun) -> bool:
        """Tell whether an end that was vouched for is to be checked.

        :param run: the run whose target vouched for it
        """
        dispatcher, plan = self._dispatcher, self._plan
        now = dispatcher.clock.monotonic()
        return (
            plan.repeatable
            # the target may have been slow to vouch for the end
            and now - run.heard_at <= MAX_VOUCH_SECONDS
            and not run.forwarded
            and not run.stopped
            and run.last_event_number is not None
            and not self._is_past_number
            and run.earlier_runs + len(run.ran_at) < plan.route.attempts
            and plan.deadline - now > CONFIRM_SECONDS
            and dispatcher.state.ends_at is None
            and dispatcher.guard.may_repeat_freely(plan)
            and dispatcher.confirmations.take(plan.service.name)
        )

    def begin(self, vouched: VouchedEnd) -> None:
        """Begin to check an end.

        :param vouched: the end
        """
        self.vouched = vouched
        self._until = self._dispatcher.clock.monotonic() + CONFIRM_SECONDS

    def end(self) -> None:
        """Bound waits no longer: the stream goes on as any other."""
        self._until = None

    def limit(self, seconds: float) -> float:
        """Return a wait, cut to what is left of the check under way.

        :param seconds: the wait without a check, in seconds
        """
        if self._until is None:
            return seconds
        left = self._until - self._dispatcher.clock.monotonic()
        return max(0.0, min(seconds, left))

    def note_event(self, numbered: bool) -> None:
        """Record an event: if an end was checked, it was none.

        :param numbered: whether the event has a number
        """
        self._is_past_number = not numbered
        self._until = None
        # one without a number does not show in the run's last number
        self.vouched = None
        self.is_disputed = False

    def note_foreign(self) -> None:
        """Record what came in place of what follows: no end is known."""
        self.vouched = None

    def note_answer(self, verdict: Continuation) -> None:
        """Record an answer that does not tell what follows.

        A target that has not run the request can't know, so the word stands.

        :param verdict: what the answer was
        """
        if self.is_under_way and verdict is not Continuation.NOT_RUN:
            self.is_disputed = True

    @property
    def is_vouched(self) -> bool:
        """Whether a target has vouched for an end after the last event."""
        return self.vouched is not None

    def is_answered_by_nothing(self, end: BodyEnd) -> bool:
        """Tell whether a vouched end stands, as nothing followed it.

        :param end: how the body of the target that was asked has ended
        """
        nothing_came = not end.events and not is_unfinished(end.remainder)
        is_word = self.is_vouched and not self.is_disputed
        return nothing_came and not end.contradicted and is_word
