"""The one place that tells whether an answer continues a stream."""

from chivepier.gateway.serving.continuation import Continuation
from chivepier.gateway.serving.errors import ForeignAnswerError
from chivepier.gateway.serving.targetanswer import TargetAnswer

# Of the statuses of success the one whose body is all that was asked for
# (RFC 9110, 15.3).
CONTINUED_STATUS = 200


def judge_continuation(answer: TargetAnswer) -> Continuation:
    """Tell whether an answer may be relayed as the rest of a stream.

    It came where a rest was due, but may be an error of its target, or of
    what stands before it, under any status.

    :param answer: the head of the answer
    """
    facts = answer.facts
    if facts.not_run or facts.other_instance is not None:
        return Continuation.NOT_RUN
    if facts.mismatched:
        return Continuation.OTHER_REQUEST
    if answer.status != CONTINUED_STATUS:
        return Continuation.STATUS
    if not facts.signed:
        return Continuation.UNSIGNED
    if not facts.may_be_events:
        return Continuation.TYPE
    return Continuation.CODING if facts.coded else Continuation.CONTINUES


def check_continuation(answer: TargetAnswer) -> None:
    """Check that an answer may be relayed as the rest of a stream.

    :param answer: the head of the answer
    :raises ForeignAnswerError: if it may not
    """
    verdict = judge_continuation(answer)
    if verdict is not Continuation.CONTINUES:
        signed = answer.facts.signed
        raise ForeignAnswerError(verdict, answer.status, signed)
