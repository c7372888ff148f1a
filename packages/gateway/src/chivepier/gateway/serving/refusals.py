"""What callers are told of requests that are given up."""

import datetime

from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.serving.plan import Plan
from chivepier.gateway.serving.returns import Returns
from chivepier.gateway.targets import TargetState
from chivepier.gateway.targets import TargetTable
from chivepier.types import Clock
from chivepier.types import ErrorKind
from chivepier.types import Failure
from chivepier.types import Ran
from chivepier.types import RequestError

# Below this many seconds left no target can answer: a round trip between
# availability zones and the shortest work take about as long.
LEAST_LEFT = 0.02
# How often all targets may refuse before the caller is told to come back.
MOST_ROUNDS = 3


class Refusals:
    """Decides when a request is given up, and what is true of it then.

    That it has not run is said only where no target had it; with it goes
    when to come back.

    :param table: the targets
    :param clock: monotonic time
    :param returns: when refused callers may come back
    :param log: refusals that targets' words lead to
    """

    def __init__(
        self,
        table: TargetTable,
        clock: Clock,
        returns: Returns,
        log: EventLog,
    ):
        self._log = log
        self._table = table
        self._clock = clock
        self._returns = returns

    def check_time(self, plan: Plan, runs: int) -> None:
        """Give a request up whose time is over.

        :param plan: the request's
        :param runs: targets that may have run it
        :raises RequestError: when no target could answer it any more
        """
        left = plan.deadline - self._clock.monotonic()
        if left >= LEAST_LEFT:
            return
        if runs:
            text = "the time is over; a target may have run it"
            raise RequestError.of(ErrorKind.TIMEOUT, text, Ran.UNKNOWN)
        raise self._refusal("no target could take it in time", 0.5)

    def check_rounds(
        self, plan: Plan, rounds: int, refused: bool, runs: int
    ) -> None:
        """Give a request up that finds no target.

        :param plan: the request's
        :param rounds: how often no target was left to be tried
        :param refused: whether any was tried in the last round
        :param runs: targets that may have run it
        :raises RequestError: unless another round may find one
        """
        if refused and rounds < MOST_ROUNDS:
            return
        if not runs and self._is_shut_out(plan):
            text = "its targets' zones are evacuated, or not allowed for it"
            raise RequestError.of(ErrorKind.NO_TARGET, text)
        raise self.give_up(plan, runs, "no target has room")

    def _is_shut_out(self, plan: Plan) -> bool:
        """Tell whether operators' orders alone leave it without a target."""
        now = self._clock.monotonic()
        service = plan.service.name
        if self._table.select(service, now, plan.regions):
            return False
        return any(
            target.service == service and target.state is TargetState.READY
            for target in self._table
        )

    def give_up(self, plan: Plan, runs: int, text: str) -> RequestError:
        """Return the error of a request that is given up.

        :param plan: the request's
        :param runs: targets that may have run it
        :param text: why
        """
        if runs:
            return RequestError.of(ErrorKind.TARGET_FAILED, text, Ran.UNKNOWN)
        return self._refusal(text, plan.route.objective / 2)

    def give_up_over_limit(
        self, plan: Plan, runs: int, rate: float, entries: int
    ) -> RequestError:
        """Return the error of a request that targets in need don't take.

        :param plan: the request's
        :param runs: targets that may have run it
        :param rate: requests a second that they take together
        :param entries: that share it
        """
        if runs:
            return self.give_up(plan, runs, "targets in need take no more")
        now = self._clock.monotonic()
        back = self._returns.book(plan.service.name, rate, entries, now)
        self._note("over_limit", plan, back, rate=rate, entries=entries)
        text = f"its targets are in need and take {rate:g} requests a second"
        return self._overload(text, back)

    def give_up_at_rest(
        self, plan: Plan, runs: int, seconds: float
    ) -> RequestError:
        """Return the error of a request whose targets are all at rest.

        :param plan: the request's
        :param runs: targets that may have run it
        :param seconds: until the first of them is back
        """
        text = "its targets have asked this instance to wait"
        if runs:
            return self.give_up(plan, runs, text)
        back = self._returns.spread(seconds)
        self._note("all_at_rest", plan, back, first_ms=round(1000 * seconds))
        return self._overload(text, back)

    def _note(self, event: str, plan: Plan, back: float, **facts) -> None:
        self._log.warn(
            event,
            id=plan.request.id,
            service=plan.service.name,
            team=plan.team,
            urgency=plan.urgency,
            back_ms=round(1000 * back),
            **facts,
        )

    def _overload(self, text: str, seconds: float) -> RequestError:
        pause = datetime.timedelta(seconds=seconds)
        return RequestError(Failure(ErrorKind.OVERLOADED, text, Ran.NO, pause))

    def _refusal(self, text: str, seconds: float) -> RequestError:
        pause = datetime.timedelta(seconds=seconds)
        return RequestError(Failure(ErrorKind.NO_TARGET, text, Ran.NO, pause))

    def explain_loss(self, error: Exception) -> RequestError:
        """Return the error of a request that was lost at its last target.

        :param error: how it was lost
        """
        if isinstance(error, TimeoutError):
            text = "the target did not answer in time"
            return RequestError.of(ErrorKind.TIMEOUT, text, Ran.UNKNOWN)
        text = "the connection to the target broke"
        return RequestError.of(ErrorKind.TARGET_FAILED, text, Ran.UNKNOWN)
