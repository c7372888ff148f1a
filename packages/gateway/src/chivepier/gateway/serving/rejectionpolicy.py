"""Rejecting requests, with the error that the caller gets."""

import datetime

from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.serving.errors import NoCapacityError
from chivepier.gateway.serving.plan import Plan
from chivepier.gateway.serving.retryafterscheduler import RetryAfterScheduler
from chivepier.gateway.targets import TargetState
from chivepier.gateway.targets import TargetTable
from chivepier.types import Clock
from chivepier.types import ErrorKind
from chivepier.types import Failure
from chivepier.types import Ran
from chivepier.types import RequestError

# With less time left no target can answer: a round trip between availability
# zones and the shortest processing take about as long.
MIN_TIME_LEFT_SECONDS = 0.02
# Number of rounds in which all targets may refuse before the request is
# rejected.
MAX_ROUNDS = 3


class RejectionPolicy:
    """Decides when a request is rejected, and with which error.

    An error says that the request has not run only if no target may have run
    it. Such an error also tells the caller when to retry.

    :param table: the known targets
    :param clock: source of monotonic time
    :param retry_after: schedules the retries of rejected callers
    :param log: receives rejections caused by rate limits, backoffs and full
        targets
    """

    def __init__(
        self,
        table: TargetTable,
        clock: Clock,
        retry_after: RetryAfterScheduler,
        log: EventLog,
    ):
        self._log = log
        self._table = table
        self._clock = clock
        self._retry_after = retry_after

    def check_deadline(self, plan: Plan, runs: int) -> None:
        """Reject a request whose deadline is too close.

        :param plan: the plan of the request
        :param runs: number of targets that may have run it
        :raises RequestError: if no target could answer before the deadline
        """
        left = plan.deadline - self._clock.monotonic()
        if left >= MIN_TIME_LEFT_SECONDS:
            return
        if runs:
            text = "the time is over; a target may have run it"
            raise RequestError.of(ErrorKind.TIMEOUT, text, Ran.UNKNOWN)
        raise self._make_no_target_error(
            "no target could take it in time", 0.5
        )

    def check_rounds(
        self, plan: Plan, rounds: int, refused: bool, runs: int
    ) -> None:
        """Reject a request that finds no target.

        :param plan: the plan of the request
        :param rounds: number of rounds that ended without a target to try
        :param refused: whether any target was tried in the last round
        :param runs: number of targets that may have run it
        :raises RequestError: unless another round may find a target
        """
        if refused and rounds < MAX_ROUNDS:
            return
        if not runs and self._lacks_version(plan):
            text = "no target runs the version that began this stream"
            raise RequestError.of(ErrorKind.NO_TARGET, text)
        if not runs and self._is_barred_by_zone_rules(plan):
            text = "its targets' zones are evacuated, or not allowed for it"
            raise RequestError.of(ErrorKind.NO_TARGET, text)
        raise self.make_error(plan, runs, "no target has room")

    def _lacks_version(self, plan: Plan) -> bool:
        """Return whether a stream finds no target of its version."""
        eligibility = plan.eligibility
        return eligibility.software_version is not None and not any(
            target.service == plan.service.name
            and target.state is TargetState.READY
            and eligibility.fits_version(target)
            for target in self._table
        )

    def _is_barred_by_zone_rules(self, plan: Plan) -> bool:
        """Return whether zone rules alone exclude all ready targets."""
        now = self._clock.monotonic()
        service = plan.service.name
        if self._table.select(service, now, plan.eligibility):
            return False
        return any(
            target.service == service and target.state is TargetState.READY
            for target in self._table
        )

    def make_error(self, plan: Plan, runs: int, text: str) -> RequestError:
        """Return the error of a rejected request.

        :param plan: the plan of the request
        :param runs: number of targets that may have run it
        :param text: reason for the rejection
        """
        if runs:
            return RequestError.of(ErrorKind.TARGET_FAILED, text, Ran.UNKNOWN)
        return self._make_no_target_error(text, plan.route.objective / 2)

    def make_no_room_error(
        self, plan: Plan, runs: int, error: NoCapacityError
    ) -> RequestError:
        """Return the error of a request for which no room becomes free.

        :param plan: the plan of the request
        :param runs: number of targets that may have run it
        :param error: says when it would have started
        """
        text, estimate = "no target has room", error.estimate
        drain = estimate.drain_seconds
        if runs or not drain or not estimate.rate:
            # not known, or it isn't the queue that keeps room from it
            return self.make_error(plan, runs, text)
        left = plan.deadline - self._clock.monotonic()
        back = self._retry_after.spread(drain, left)
        self._log_rejection(
            "refused_early" if error.early else "refused_late",
            plan,
            back,
            tokens=estimate.tokens,
            ahead_tokens=estimate.ahead,
            free=round(estimate.free),
            rate=round(estimate.rate or 0.0),
            expected_ms=round(1000 * (estimate.seconds or 0.0)),
            left_ms=round(1000 * left),
        )
        return self._make_no_target_error(text, back)

    def make_over_limit_error(
        self, plan: Plan, runs: int, rate: float, entries: int
    ) -> RequestError:
        """Return the error of a request beyond its targets' rate limits.

        :param plan: the plan of the request
        :param runs: number of targets that may have run it
        :param rate: sum of the rate limits, in requests per second
        :param entries: number of entries that share the rate
        """
        if runs:
            return self.make_error(plan, runs, "targets in need take no more")
        now = self._clock.monotonic()
        back = self._retry_after.schedule(
            plan.service.name, rate, entries, now
        )
        self._log_rejection(
            "over_limit", plan, back, rate=rate, entries=entries
        )
        text = f"its targets are in need and take {rate:g} requests a second"
        return self._make_overload_error(text, back)

    def make_backoff_error(
        self, plan: Plan, runs: int, seconds: float
    ) -> RequestError:
        """Return the error of a request whose targets all back off.

        :param plan: the plan of the request
        :param runs: number of targets that may have run it
        :param seconds: time until the first of them accepts requests
        """
        text = "its targets have asked this instance to wait"
        if runs:
            return self.make_error(plan, runs, text)
        back = self._retry_after.add_jitter(seconds)
        self._log_rejection(
            "all_at_rest",
            plan,
            back,
            first_ms=round(1000 * seconds),
            heard_ms=self._list_heard_ms(plan),
        )
        return self._make_overload_error(text, back)

    def make_full_error(
        self,
        plan: Plan,
        runs: int,
        seconds: float,
        reports: dict[str, str],
    ) -> RequestError:
        """Return the error of a request that no place is free for in time.

        :param plan: the plan of the request
        :param runs: number of targets that may have run it
        :param seconds: expected time until a place would be free for it
        :param reports: what its targets reported, for the log
        """
        text = "its targets are busy until after its deadline"
        if runs:
            return self.make_error(plan, runs, text)
        back = self._retry_after.add_jitter(seconds)
        left = plan.deadline - self._clock.monotonic()
        self._log_rejection(
            "place_refused",
            plan,
            back,
            start_ms=round(1000 * seconds),
            left_ms=round(1000 * left),
            reports=reports,
        )
        return self._make_overload_error(text, back)

    def _list_heard_ms(self, plan: Plan) -> dict[str, int]:
        """Return for each ready target how long ago it was heard."""
        now = self._clock.monotonic()
        return {
            target.instance: round(1000 * (now - target.heard))
            for target in self._table
            if target.service == plan.service.name
            and target.state is TargetState.READY
        }

    def _log_rejection(
        self, event: str, plan: Plan, back: float, **facts
    ) -> None:
        self._log.warn(
            event,
            id=plan.request.id,
            service=plan.service.name,
            team=plan.team,
            urgency=plan.urgency,
            back_ms=round(1000 * back),
            **facts,
        )

    def _make_overload_error(self, text: str, seconds: float) -> RequestError:
        pause = datetime.timedelta(seconds=seconds)
        return RequestError(Failure(ErrorKind.OVERLOADED, text, Ran.NO, pause))

    def _make_no_target_error(self, text: str, seconds: float) -> RequestError:
        pause = datetime.timedelta(seconds=seconds)
        return RequestError(Failure(ErrorKind.NO_TARGET, text, Ran.NO, pause))

    def make_unproven_error(self) -> RequestError:
        """Return the error of a request that only a status says is not run.

        Passed on, that status would promise the caller that it never runs.
        """
        text = "the target refused it without telling that it has not run"
        return RequestError.of(ErrorKind.TARGET_FAILED, text, Ran.UNKNOWN)

    def make_lost_error(self, error: Exception) -> RequestError:
        """Return the error of a request that was lost at its last target.

        :param error: the failure of the send
        """
        if isinstance(error, TimeoutError):
            text = "the target did not answer in time"
            return RequestError.of(ErrorKind.TIMEOUT, text, Ran.UNKNOWN)
        text = "the connection to the target broke"
        return RequestError.of(ErrorKind.TARGET_FAILED, text, Ran.UNKNOWN)
