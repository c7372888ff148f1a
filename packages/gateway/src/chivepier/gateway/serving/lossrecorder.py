"""Recording requests that targets lost."""

from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.quarantine import shorten
from chivepier.gateway.serving.assignmentlog import describe_parts
from chivepier.gateway.serving.crashguard import CrashGuard
from chivepier.gateway.serving.plan import Plan
from chivepier.gateway.targets import Target
from chivepier.gateway.targets import TargetTable
from chivepier.types import Clock


class LossRecorder:
    """Logs and reports targets that failed while they had a request.

    :param table: tells whether a target leaves
    :param guard: gets each loss, as its request may have ended the target
    :param clock: monotonic clock
    :param log: event log of this process
    """

    def __init__(
        self,
        table: TargetTable,
        guard: CrashGuard,
        clock: Clock,
        log: EventLog,
    ):
        self._table = table
        self._guard = guard
        self._clock = clock
        self._log = log

    def note_lost(
        self,
        plan: Plan,
        target: Target,
        sent_at: float,
        first_event_at: float | None,
        answering: bool,
        error: BaseException,
    ) -> None:
        """Log and report that a target failed while it had a request.

        :param plan: the plan of the request
        :param target: the target that it was sent to
        :param sent_at: when it was sent, in monotonic seconds
        :param first_event_at: when its first event arrived, in monotonic
            seconds; ``None`` if none did
        :param answering: whether the head of an answer had arrived
        :param error: a timeout or the error of the connection
        """
        now = self._clock.monotonic()
        self._log.warn(
            "target_lost",
            id=plan.request.id,
            digest=shorten(plan.digest),
            path=plan.request.path,
            team=plan.team,
            target=target.instance,
            born=target.born,
            address=target.address,
            leaving=self._table.is_leaving(target.instance),
            sent_ms=round(1000 * (now - sent_at)),
            begun_ms=(
                None
                if first_event_at is None
                else round(1000 * (now - first_event_at))
            ),
            answering=answering,
            parts=describe_parts(plan),
            error=repr(error),
        )
        broke = not isinstance(error, TimeoutError)
        self._guard.note_lost(
            plan, target, sent_at, first_event_at, answering, broke
        )
