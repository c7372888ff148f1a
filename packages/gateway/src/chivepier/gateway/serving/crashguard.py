"""Keeping requests from targets that would end under them."""

import datetime

from chivepier.gateway.quarantine import Loss
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
    """Asked before each send, and told what came of it.

    Before each one: what waited for room, was lost at one target or goes on
    elsewhere may meanwhile be known to end what runs it.

    :param quarantine: what is known
    :param clock: monotonic time
    """

    def __init__(self, quarantine: Quarantine, clock: Clock):
        self._quarantine = quarantine
        self._clock = clock

    def is_held(self, plan: Plan) -> bool:
        """Tell whether a request must not be sent to a target."""
        # digests cost some microseconds, and hardly ever is anything held
        quarantine = self._quarantine
        return not quarantine.idle and bool(quarantine.find_hold(plan.digest))

    def check(self, plan: Plan, runs: int) -> None:
        """Turn a request away that must not be sent to a target.

        :param plan: the request's
        :param runs: targets that may have run it in this attempt
        :raises RequestError: with when it may be sent again; that it has not
            run is said only where no target had it
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
        """Take that a target was lost under a request.

        :param plan: the request's
        :param target: where it was
        :param sent: when it was sent there, in monotonic seconds
        :param begun: when its first event came; ``None`` before that
        :param broke: whether the connection broke; else nothing came in time
        """
        self._quarantine.note_loss(
            Loss(
                id=plan.request.id,
                digest=plan.digest,
                team=plan.team,
                target=target,
                sent=sent_at,
                begun=first_event_at,
                broke=disconnected,
                at=self._clock.monotonic(),
            )
        )

    async def wait_for_verdict(self, plan: Plan, target: Target) -> None:
        """Wait for a moment until it is known why a request was lost."""
        await self._quarantine.settle(plan.digest, target)

    def note_answered(self, plan: Plan, facts: AnswerFacts) -> None:
        """Take that a target answered a request whole.

        Where only the end of the connection ends an answer, that of a process
        that ends looks the same, and would clear the request that ended it.

        :param plan: the request's
        :param facts: of the answer
        """
        if facts.framed:
            self._quarantine.note_answered(plan.digest)
