"""Tests of what answers where a moved generation is to go on."""

import pytest

from chivepier.gateway.serving import AnswerFacts
from chivepier.gateway.serving.tests.parts import begin
from chivepier.gateway.serving.tests.parts import play

STREAM = b"id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n"
NEXT = "id: 3\ndata: 3\n\n"
ERROR_HEAD = "HTTP/1.1 500 Trouble\r\nContent-Length: 3\r\n\r\nbad"
# status, facts and body of an answer that is no rest of a stream
FOREIGN = {
    "500": (500, {}, "bad"),
    "500-empty": (500, {}, ""),
    "500-events": (500, {}, NEXT),
    "503": (503, {"implies_not_run": True}, "busy"),
    "404": (404, {}, "no such thing"),
    "302": (302, {}, ""),
    "202": (202, {}, "later"),
    "204": (204, {}, ""),
    "206": (206, {}, NEXT),
    "unsigned": (200, {"signed": False}, NEXT),
    "unsigned-text": (200, {"signed": False}, "bad"),
    "unsigned-empty": (200, {"signed": False}, ""),
    "mismatched": (200, {"mismatched": True}, NEXT),
    "type": (200, {"may_be_events": False}, "bad"),
    "type-empty": (200, {"may_be_events": False}, ""),
    "coded": (200, {"coded": True}, "\x1f\x8b"),
    "text": (200, {}, "bad"),
    "text-line": (200, {}, "bad\n\n"),
    "json": (200, {}, '{"error": "bad"}\n\n'),
    "head": (200, {}, ERROR_HEAD),
    "error-event": (200, {}, "event: error\ndata: bad\n\n"),
    "unframed-text": (200, {"framed": False}, "bad"),
}
PLACES = ("destination", "source")


def answer_resumptions(engines, status: int, facts: dict, text: str) -> None:
    """Have each target answer alike where a copy is to go on."""
    send = engines.send

    async def send_and_end(target, request, order, contact):
        if order.origin is not None:
            engines.facts = AnswerFacts(**facts)
        run = await send(target, request, order, contact)
        if order.origin is not None:
            run.status = status
            if text:
                run.make(0, text)
            run.end()
            run.end()
        return run

    engines.send = send_and_end


def refuse_last_copies(engines) -> None:
    """Have sources stop runs that nobody has room for."""
    move = engines.move

    async def move_into_full(source, identity, destination, last, *rest):
        if last:
            engines.full = {destination.instance}
        return await move(source, identity, destination, last, *rest)

    engines.move = move_into_full


@pytest.mark.parametrize("place", PLACES)
@pytest.mark.parametrize("foreign", FOREIGN.values(), ids=FOREIGN)
def test_error_where_a_copy_goes_on_never_becomes_a_part_of_a_run(
    foreign, place
):
    # An error's text followed the events of a run that may run once only.
    async def test(parts):
        caller, task, run = await begin(parts)
        answer_resumptions(parts.engines, *foreign)
        if place == "source":
            refuse_last_copies(parts.engines)
        parts.leave(run.target)
        await task
        (name, order), *more = parts.engines.orders[1:]
        assert order.origin is not None and not more
        assert (name == run.target) is (place == "source")
        assert caller.data == STREAM
        assert caller.aborted and not caller.finished

    play(test, "a", "b", "c")
