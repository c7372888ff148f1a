"""Reads what can be passed on of an answer."""

from chivepier.gateway.serving.answerallocation import AnswerAllocation
from chivepier.gateway.serving.answermemory import AnswerMemory
from chivepier.gateway.serving.answerstatus import is_success
from chivepier.gateway.serving.continuationjudge import check_continuation
from chivepier.gateway.serving.endwitness import EndWitness
from chivepier.gateway.serving.errors import BrokenAnswerError
from chivepier.gateway.serving.liverun import LiveRun
from chivepier.gateway.serving.plan import Plan
from chivepier.gateway.serving.runtracker import RunTracker
from chivepier.gateway.serving.startedanswer import StartedAnswer
from chivepier.gateway.serving.targetanswer import TargetAnswer
from chivepier.gateway.targets import Target


class AnswerReader:
    """Reads a whole answer, or a stream up to its first bytes.

    Until then nothing was sent to the caller, and the request can be sent
    elsewhere.

    :param runs: tracks the generations of this entry
    :param witness: tells whether a target has just failed
    :param memory: bounds what whole answers take
    """

    def __init__(
        self, runs: RunTracker, witness: EndWitness, memory: AnswerMemory
    ):
        self._runs = runs
        self._witness = witness
        self._memory = memory

    async def read(
        self,
        plan: Plan,
        target: Target,
        answer: TargetAnswer,
        run: LiveRun | None,
    ) -> StartedAnswer:
        """Read an answer as far as it is needed before it is passed on.

        :param plan: the plan of the request
        :param target: the target that answers
        :param answer: the head of the answer
        :param run: the run of a generation, if one is tracked already
        :raises BrokenAnswerError: when the answer is incomplete, too large or
            that to another request
        :raises ForeignAnswerError: when it is a success, and not the rest of
            the stream that a caller takes up
        """
        if answer.facts.mismatched:
            raise BrokenAnswerError("the answer names another request or none")
        if plan.route.streaming and is_success(answer.status):
            if plan.request.takes_up:
                check_continuation(answer)
            return await self._read_start(plan, target, answer, run)
        allocation = await self._memory.open(answer.length)
        try:
            body = await self._read_whole(answer, allocation)
            seconds = await self._check_end(plan, target, answer)
        except BaseException:
            allocation.close()
            raise
        answer.release()
        if run is not None:
            self._runs.abandon(run)
        return StartedAnswer(
            target,
            answer,
            body,
            allocation=allocation,
            question_seconds=seconds,
        )

    async def _read_start(
        self,
        plan: Plan,
        target: Target,
        answer: TargetAnswer,
        run: LiveRun | None,
    ) -> StartedAnswer:
        first = await answer.read()
        if not first and not answer.facts.framed:
            raise BrokenAnswerError("closed before the first event")
        if run is None:
            run = self._runs.start(plan, target)
        self._runs.note_first_event(run)
        return StartedAnswer(target, answer, first, run)

    async def _read_whole(
        self, answer: TargetAnswer, allocation: AnswerAllocation
    ) -> bytes:
        parts = []
        while data := await answer.read():
            allocation.extend(len(data))
            parts.append(data)
        return b"".join(parts)

    async def _check_end(
        self, plan: Plan, target: Target, answer: TargetAnswer
    ) -> float:
        """Ask a target for its word where nothing else tells an end.

        :returns: for how many seconds that was asked
        """
        # a crash closes a body without a length in the same way
        if answer.facts.framed or answer.facts.tells_not_run:
            return 0.0
        evidence = await self._witness.examine(target, plan.request.id)
        if not evidence.is_vouched:
            who = evidence.identity.value
            raise BrokenAnswerError(
                "the target is not known to have lived after its answer"
                f" without a length: {who}"
            )
        return evidence.seconds
