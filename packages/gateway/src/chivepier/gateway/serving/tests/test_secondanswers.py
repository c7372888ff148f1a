"""Tests of errors that are raised once an answer has begun."""

import pytest

from chivepier.gateway.serving import NotSentError
from chivepier.gateway.serving.tests.parts import begin
from chivepier.gateway.serving.tests.parts import play
from chivepier.types import ErrorKind
from chivepier.types import RequestError

ERRORS = {
    "failure": RequestError.of(ErrorKind.TARGET_FAILED, "trouble"),
    "not-sent": NotSentError("trouble"),
}


@pytest.mark.parametrize("error", ERRORS.values(), ids=ERRORS)
def test_error_after_a_head_breaks_off_the_answer(error):
    # It was handed to what answers callers, which began a second answer.
    async def test(parts):
        caller, task, run = await begin(parts, "/resume/x")

        async def fail(run):
            raise error

        parts.dispatcher.limit.count_runs = fail
        run.cut()
        await task
        assert caller.aborted and not caller.finished
        assert caller.numbers == [1, 2]
        (line,) = parts.read_lines("answer_broken_off")
        assert "trouble" in line["error"]

    play(test, "a", "b")
