"""Records what attempts at targets say of them."""

from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.serving.answerstatus import is_success
from chivepier.gateway.serving.errors import NotPermittedError
from chivepier.gateway.serving.errors import NotSentError
from chivepier.gateway.serving.plan import Plan
from chivepier.gateway.serving.startedanswer import StartedAnswer
from chivepier.gateway.targets import LoadBalancer
from chivepier.gateway.targets import Target
from chivepier.gateway.targets import TargetHealth
from chivepier.gateway.targets import TargetTable
from chivepier.types import Clock

SERVER_ERROR_STATUS = 500


class AttemptRecorder:
    """Records answers and failures of targets, and avoids those that fail.

    :param table: the known targets
    :param health: failure and latency statistics of targets
    :param balancer: load balancer that avoids targets
    :param clock: monotonic clock
    :param log: event log for requests that were not sent
    """

    def __init__(
        self,
        table: TargetTable,
        health: TargetHealth,
        balancer: LoadBalancer,
        clock: Clock,
        log: EventLog,
    ):
        self._table = table
        self._health = health
        self._balancer = balancer
        self._clock = clock
        self._log = log

    def note_answer(
        self, plan: Plan, started: StartedAnswer, seconds: float
    ) -> None:
        """Record an answer, whatever its status.

        :param plan: the request and its route
        :param started: the answer
        :param seconds: time from the sending of the request to the end of what
            was read of its answer
        """
        if not self._table.is_current(started.target):
            return
        now = self._clock.monotonic()
        failed = started.answer.status >= SERVER_ERROR_STATUS
        slowness = 0.0
        if plan.demand is None:
            slowness = seconds / plan.route.objective
        instance = started.target.instance
        self._health.record_response(instance, failed, slowness, now)
        if plan.demand is None and is_success(started.answer.status):
            self._balancer.request_cost.record_answer(
                started.target, seconds, plan.route.objective, now
            )

    def note_not_sent(
        self, plan: Plan, target: Target, error: NotSentError
    ) -> None:
        """Record that a request did not reach its target.

        :param plan: the request and its route
        :param target: where it was to be sent
        :param error: why it was not
        """
        if not isinstance(error, NotPermittedError):
            self.avoid(target)
        self._log.warn(
            "target_not_sent",
            id=plan.request.id,
            target=target.instance,
            address=target.address,
            error=repr(error),
        )

    def note_failure(self, plan: Plan, target: Target, runs: int) -> None:
        """Avoid a target that ran a generation and failed it.

        A second target that fails it says more of the request.

        :param plan: the request and its route
        :param target: the target
        :param runs: number of targets that have run the request
        """
        if plan.demand is not None and runs == 1:
            if self._table.is_current(target):
                self._balancer.avoid_failing(target)

    def avoid(self, target: Target) -> None:
        """Avoid a target that did not answer.

        One that has restarted is not avoided because its previous incarnation
        did not answer.

        :param target: the target
        """
        if self._table.is_current(target):
            self._balancer.avoidance.avoid(target.instance)
