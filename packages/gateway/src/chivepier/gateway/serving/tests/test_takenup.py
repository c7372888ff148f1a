"""Tests of answers to callers that take up their streams themselves."""

import pytest

from chivepier.gateway.serving import AnswerFacts
from chivepier.gateway.serving.tests.parts import fail
from chivepier.gateway.serving.tests.parts import make_request
from chivepier.gateway.serving.tests.parts import play
from chivepier.types import ErrorKind
from chivepier.types import Ran

FOREIGN = {
    "202": (202, {}),
    "204": (204, {}),
    "206": (206, {}),
    "unsigned": (200, {"signed": False}),
    "type": (200, {"may_be_events": False}),
    "coded": (200, {"coded": True}),
}


def make_take_up():
    """Make the request of a caller that has two events."""
    return make_request("/resume/x", last_event="2")


def answer_with(parts, status: int, facts: AnswerFacts, text: str) -> None:
    """Have all targets answer with an event or a text."""
    send = parts.engines.send
    parts.engines.facts = facts

    async def send_and_end(*args):
        run = await send(*args)
        run.status = status
        run.make(0, text)
        run.end()
        run.end()
        return run

    parts.engines.send = send_and_end


@pytest.mark.parametrize("foreign", FOREIGN.values(), ids=FOREIGN)
def test_success_that_is_no_rest_is_none_to_a_caller_that_takes_up(foreign):
    # Its caller put the text of an error behind the events that it had.
    async def test(parts):
        status, facts = foreign
        answer_with(parts, status, AnswerFacts(**facts), "trouble")
        failure = await fail(parts, make_take_up())
        assert failure.kind is ErrorKind.TARGET_FAILED
        assert failure.ran is Ran.UNKNOWN
        assert len(parts.read_lines("answer_foreign")) == 2

    play(test, "a", "b")


def test_failure_reaches_a_caller_that_takes_up_as_it_is():
    # Its status tells that it is none.
    async def test(parts):
        answer_with(parts, 404, AnswerFacts(signed=False), "no such thing")
        caller = await parts.serve(make_take_up())
        assert (caller.status, caller.data) == (404, b"no such thing")

    play(test, "a", "b")


def test_series_that_goes_on_reaches_a_caller_that_takes_up():
    async def test(parts):
        answer_with(parts, 200, AnswerFacts(), "id: 3\ndata: 3\n\n")
        caller = await parts.serve(make_take_up())
        assert caller.numbers == [3] and caller.finished

    play(test, "a", "b")
