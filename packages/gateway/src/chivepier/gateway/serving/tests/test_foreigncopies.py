"""Tests of errors where a copy of a run is to go on."""

import pytest

from chivepier.gateway.serving import AnswerFacts
from chivepier.gateway.serving.tests.parts import begin
from chivepier.gateway.serving.tests.parts import play

HEAD = "HTTP/1.1 500 Oops\r\nContent-Length: 3\r\n\r\n"
# status, facts and body of what the holder of a copy answers
FOREIGN = {
    "500": (500, {}, "trouble"),
    "404": (404, {}, "trouble"),
    "429": (429, {}, "trouble"),
    "refusal": (503, {"not_run": True}, "trouble"),
    "204": (204, {}, ""),
    "206": (206, {}, "id: 3\ndata: 3\n\n"),
    "unsigned": (200, {"signed": False}, "id: 3\ndata: 3\n\n"),
    "type": (200, {"may_be_events": False}, "trouble"),
    "coded": (200, {"coded": True}, "trouble"),
    "text": (200, {}, "trouble\n\n"),
    "head": (200, {}, HEAD + "bad"),
    "error": (200, {}, "event: error\ndata: trouble\n\n"),
}


@pytest.mark.parametrize("framed", (True, False))
@pytest.mark.parametrize("foreign", FOREIGN.values(), ids=FOREIGN)
def test_error_of_the_holder_of_a_copy_is_no_rest_of_a_stream(foreign, framed):
    # A moved stream went on with an error, and was told as whole.
    async def test(parts):
        status, facts, body = foreign
        caller, task, run = await begin(parts)
        before, send = caller.data, parts.engines.send

        async def send_foreign(*args):
            fresh = await send(*args)
            fresh.status = status
            fresh.facts = AnswerFacts(framed=framed, **facts)
            if body:
                fresh.make(0, body)
            fresh.end()
            return fresh

        parts.engines.send = send_foreign
        parts.leave(run.target)
        await task
        assert caller.data == before
        assert caller.aborted and not caller.finished
        assert len(parts.engines.orders) == 2

    play(test, "a", "b", "c")
