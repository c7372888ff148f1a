"""Tests of the verdict on what comes where the rest of a stream is due."""

import pytest

from chivepier.gateway.serving import AnswerFacts
from chivepier.gateway.serving.continuation import Continuation
from chivepier.gateway.serving.continuationjudge import judge_continuation
from chivepier.gateway.serving.tests.fakeengines import FakeAnswer


@pytest.mark.parametrize(
    "status, facts, verdict",
    [
        (200, {}, Continuation.CONTINUES),
        (200, {"not_run": True}, Continuation.NOT_RUN),
        (421, {"other_instance": ""}, Continuation.NOT_RUN),
        (200, {"mismatched": True}, Continuation.OTHER_REQUEST),
        (202, {}, Continuation.STATUS),
        (204, {}, Continuation.STATUS),
        (206, {}, Continuation.STATUS),
        (500, {}, Continuation.STATUS),
        (503, {"implies_not_run": True}, Continuation.STATUS),
        (503, {"not_run": True}, Continuation.NOT_RUN),
        (200, {"signed": False}, Continuation.UNSIGNED),
        (200, {"may_be_events": False}, Continuation.TYPE),
        (200, {"coded": True}, Continuation.CODING),
    ],
)
def test_only_a_signed_series_of_events_continues_a_stream(
    status, facts, verdict
):
    # Whatever came where a rest was due was taken for it.
    answer = FakeAnswer("a", "r1", 0, status, AnswerFacts(**facts))
    assert judge_continuation(answer) is verdict
