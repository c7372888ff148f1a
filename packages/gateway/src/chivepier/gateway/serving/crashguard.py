"""Blocks requests that have crashed several targets."""

import datetime
import typing

from chivepier.gateway.quarantine import Hold
from chivepier.gateway.quarantine import LostRequest
from chivepier.gateway.quarantine import Quarantine
from chivepier.gateway.quarantine import SUSPECT_WINDOW_SECONDS
from chivepier.gateway.serving.answerstatus import is_success
from chivepier.gateway.serving.liverun import LiveRun
from chivepier.gateway.serving.plan import Plan
from chivepier.gateway.serving.startedanswer import StartedAnswer
from chivepier.gateway.targets import Target
from chivepier.types import Clock
from chivepier.types import ErrorKind
from chivepier.types import Failure
from chivepier.types import Ran
from chivepier.types import RequestError

# Waits shorter than this are over.
CLOCK_RESOLUTION_SECONDS = 0.001


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
        return self._find_hold(plan) is not None

    def may_repeat_freely(self, plan: Plan) -> bool:
        """Return whether nothing speaks against a run that isn't needed."""
        return not self._quarantine.is_nearly_held(plan.digest, plan.parts)

    def _find_hold(self, plan: Plan) -> Hold | None:
        # a digest costs some microseconds, and the quarantine is mostly empty
        if self._quarantine.idle:
            return None
        return self._quarantine.find_hold(
            plan.digest, plan.parts, plan.team or ""
        )

    async def check(self, plan: Plan, runs: int) -> None:
        """Refuse a request that is quarantined.

        If the evidence is new, waits until other entries have had a chance to
        contradict it.

        :param plan: the plan of the request
        :param runs: number of targets that may have run it in this attempt
        :raises RequestError: when it is quarantined. If no target received
            it, the error says that it has not run and when to retry.
        """
        while hold := self._find_hold(plan):
            wait = hold.settled_at - self._clock.monotonic()
            if wait <= CLOCK_RESOLUTION_SECONDS:
                self._refuse(plan, runs, hold)
            await self._clock.sleep(wait)

    def _refuse(self, plan: Plan, runs: int, hold: Hold) -> typing.NoReturn:
        self._quarantine.note_refused(plan.request.id, plan.team or "", hold)
        text = "targets ended as they ran this request"
        if hold.parts:
            text = "targets ended as they ran requests with a part of this one"
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
        answering: bool,
        disconnected: bool,
    ) -> None:
        """Report that a target failed while it had a request.

        :param plan: the plan of the request
        :param target: the target that failed
        :param sent_at: when the request was sent, in monotonic seconds
        :param first_event_at: when its first event arrived, in monotonic
            seconds; ``None`` if none did
        :param answering: whether the head of an answer had arrived
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
                parts=plan.parts,
                software=self._quarantine.describe_software(target),
                answering=answering,
            )
        )

    async def wait_for_verdict(self, plan: Plan, target: Target) -> None:
        """Wait briefly until it is known whether the target crashed."""
        await self._quarantine.wait_for_check(plan.digest, target, plan.parts)

    def note_answered(
        self, plan: Plan, started: StartedAnswer, whole_run: bool = True
    ) -> None:
        """Report that a target answered a request completely.

        An answer that is delimited by closing the connection does not count
        at once: a crash looks the same, and would clear the cause.

        :param plan: the plan of the request
        :param started: the answer
        :param whole_run: whether this target alone has answered it, from the
            beginning
        """
        answer = started.answer
        if answer.facts.proves_end:
            self._quarantine.note_answered(plan.digest)
        # a target that refuses or fails a request need not have read it
        if not whole_run or not is_success(answer.status) or not plan.parts:
            return
        if answer.facts.proves_end:
            self._quarantine.note_sound(plan.parts, started.target)
        else:
            self._quarantine.note_unframed(plan.parts, started.target)

    def note_growing(self, run: LiveRun) -> None:
        """Report that a target goes on with a stream.

        One that lives on for seconds has survived each part of the prompt.

        :param run: the stream, of which more events have arrived
        """
        if run.known_sound or run.moved or run.first_event_at is None:
            return
        age = self._clock.monotonic() - run.first_event_at
        if age < SUSPECT_WINDOW_SECONDS or run.request.last_event is not None:
            return
        run.known_sound = True
        if run.plan.parts:
            self._quarantine.note_sound(run.plan.parts, run.target)
