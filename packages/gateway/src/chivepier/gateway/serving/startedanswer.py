"""An answer whose head has arrived."""

import attrs

from chivepier.gateway.serving.answerallocation import AnswerAllocation
from chivepier.gateway.serving.liverun import LiveRun
from chivepier.gateway.serving.targetanswer import TargetAnswer
from chivepier.gateway.targets import Target


@attrs.define
class StartedAnswer:
    """The answer of a target and the part of its body read so far.

    :param target: the target that answers
    :param answer: the head, and access to the rest of the body
    :param body: the whole body, or the first bytes of a stream
    :param allocation: the memory that the body takes; ``None`` for streams
    :param question_seconds: time from the end of the whole body until its
        target had given its word for it, in seconds
    :param run: the tracked run of a stream, ``None`` for other answers
    """

    target: Target
    answer: TargetAnswer
    body: bytes
    run: LiveRun | None = None
    allocation: AnswerAllocation | None = None
    question_seconds: float = 0.0

    def free(self) -> None:
        """Free the memory of a body that is not needed any more."""
        if self.allocation is not None:
            self.allocation.close()
