"""Blocks requests that have crashed several targets."""

import datetime

from chivepier.gateway.quarantine import LostRequest
from chivepier.gateway.quarantine import Quarantine
from chivepier.gateway.serving.answerfacts import AnswerFacts
from chivepier.gateway.serving.plan import Plan
from chivepier.gateway.targets import Target
from chivepier.types import Clock
from chivepier.types import ErrorKind
from chivepier.types import Failure
from chivepier.types import Ran
from chivepier.types import RequestError


class CrashGuard:
    """Checks requests against the quarantine and reports results to it.

    It is asked before each send, not once per request: a request may be
    quarantined while it waits for capacity, is retried or is resumed.

    :param quarantine: the quarantined requests
    :param clock: monotonic clock
    """

    def __init__(self, quarantine: Quarantine, clock: Clock):
        self._quarantine = quarantine
        self._clock = clock

    def is_held(self, plan: Plan) -> bool:
        """Return whether a request is quarantined."""
        # a digest costs some microseconds, and the quarantine is mostly empty
        quarantine = self._quarantine
        return not quarantine.idle and bool(quarantine.find_hold(plan.digest))

    def check(self, plan: Plan, runs: int) -> None:
        """Refuse a request that is quarantined.

        :param plan: the plan of the request
        :param runs: number of targets that may have run it in this attempt
        :raises RequestError: when it is quarantined. If no target received
            it, the error says that it has not run and when to retry.
        """
        if not self.is_held(plan):
            return
        hold = self._quarantine.find_hold(plan.digest)
        self._quarantine.note_refused(plan.request.id, plan.team or "", hold)
        text = "targets ended as they ran this request"
        if runs:
            raise RequestError.of(ErrorKind.TARGET_FAILED, text, Ran.UNKNOWN)
        left = hold.until - self._clock.monotonic()
        pause = datetime.timedelta(seconds=max(0.0, left))
        raise RequestError(Failure(ErrorKind.HELD_BACK, text, Ran.NO, pause))

    def note_lost(
        self,
        plan: Plan,
        target: Target,
        sent_at: float,
        first_event_at: float | None,
        disconnected: bool,
    ) -> None:
        """Report that a target failed while it had a request.

        :param plan: the plan of the request
        :param target: the target that failed
        :param sent_at: when the request was sent, in monotonic seconds
        :param first_event_at: when its first event arrived, in monotonic
            seconds; ``None`` if none did
        :param disconnected: whether the connection broke; otherwise the
            target did not answer in time
        """
        self._quarantine.note_lost(
            LostRequest(
                id=plan.request.id,
                digest=plan.digest,
                team=plan.team,
                target=target,
                sent_at=sent_at,
                first_event_at=first_event_at,
                disconnected=disconnected,
                lost_at=self._clock.monotonic(),
            )
        )

    async def wait_for_verdict(self, plan: Plan, target: Target) -> None:
        """Wait briefly until it is known whether the target crashed."""
        await self._quarantine.wait_for_check(plan.digest, target)

    def note_answered(self, plan: Plan, facts: AnswerFacts) -> None:
        """Report that a target answered a request completely.

        An answer that is delimited by closing the connection does not count:
        a crash looks the same, and would clear the request that caused it.

        :param plan: the plan of the request
        :param facts: the parsed head of the answer
        """
        if facts.framed:
            self._quarantine.note_answered(plan.digest)
