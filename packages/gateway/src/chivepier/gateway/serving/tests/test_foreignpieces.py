"""Tests of parts of bodies that are no part of the series of their stream."""

import asyncio

import pytest

from chivepier.gateway.serving import AnswerFacts
from chivepier.gateway.serving.eventseries import EventSeries
from chivepier.gateway.serving.eventsplitter import parse_event_number
from chivepier.gateway.serving.piece import Piece
from chivepier.gateway.serving.tests.parts import begin
from chivepier.gateway.serving.tests.parts import make_request
from chivepier.gateway.serving.tests.parts import play
from chivepier.gateway.serving.tests.parts import wait_until
from chivepier.types import RequestError

HEAD = "HTTP/1.1 500 Oops\r\nContent-Length: 3\r\n\r\n"
PAGE = "<html>\n<p>trouble</p>\n</html>\n\n"
# what a target sends behind event 2 of a numbered series, and what it is
FOREIGN = {
    "head": (HEAD, Piece.TEXT),
    "head-with-a-number": ("HTTP/1.1 500 Oops\r\nid: 3\r\n\r\n", Piece.TEXT),
    "head-inside": (f"id: 3\ndata: thr{HEAD}", Piece.TEXT),
    "head-in-a-name": (f"id: 3\nda{HEAD}", Piece.TEXT),
    "text": ("upstream trouble\n\n", Piece.TEXT),
    "page": (PAGE, Piece.TEXT),
    "json": ('{"error": "trouble"}\n\n', Piece.TEXT),
    "error": ("event: error\ndata: trouble\n\n", Piece.UNNUMBERED),
    "done": ("data: [DONE]\n\n", Piece.UNNUMBERED),
    "no-number": ("id: x\ndata: trouble\n\n", Piece.UNNUMBERED),
    "again": ("id: 2\ndata: 2\n\n", Piece.BACKWARDS),
    "back": ("id: 1\ndata: 1\n\n", Piece.BACKWARDS),
}
# what belongs to a numbered series, behind event 2
PARTS = {
    "event": "id: 3\ndata: 3\n\n",
    "gap": "id: 9\ndata: 9\n\n",
    "named": "event: token\nid: 3\ndata: 3\n\n",
    "versions": "x-weight-versions: 2\nid: 3\ndata: 3\n\n",
    "data-of-two-lines": "id: 3\ndata: 3\ndata\n\n",
    "status-in-data": "id: 3\ndata: HTTP/1.1 500 Oops\n\n",
    "error-with-a-number": "id: 3\nevent: error\ndata: trouble\n\n",
    "comment": ": HTTP/1.1 500 Oops\n\n",
    "blank": "\n\n",
    "time-to-return": ": note\nretry: 100\n\n",
}


def judge_all(series: EventSeries, *parts: str) -> Piece:
    """Judge parts of one body; return what the last one is."""
    last, piece = None, None
    for part in parts:
        data = part.encode()
        number = parse_event_number(data)
        piece = series.judge(data, number, last)
        if piece is Piece.NEXT and number is not None:
            last = number
    return piece


NUMBERED = ("id: 1\ndata: 1\n\n", "id: 2\ndata: 2\n\n")


@pytest.mark.parametrize("foreign", FOREIGN.values(), ids=FOREIGN)
def test_what_is_no_event_of_a_numbered_series_is_known(foreign):
    text, found = foreign
    series = EventSeries(numbered=False, begun=False)
    assert judge_all(series, *NUMBERED, text) is found


@pytest.mark.parametrize("text", PARTS.values(), ids=PARTS)
def test_event_of_a_numbered_series_is_not_taken_for_an_error(text):
    series = EventSeries(numbered=False, begun=False)
    piece = judge_all(series, *NUMBERED, text)
    assert piece in (Piece.NEXT, Piece.SILENT)
    assert series.may_go_on


@pytest.mark.parametrize("end", ("\n", "\r\n", "\r"))
def test_many_comments_in_an_event_are_judged_at_once(end):
    # Each line had two ways to be matched: 50 of them took for ever.
    text = "".join(f"{line}{end}" for line in (*[": a"] * 50, "oops", ""))
    series = EventSeries(numbered=True, begun=True)
    assert judge_all(series, text) is Piece.TEXT


def test_next_target_may_repeat_what_its_caller_has():
    series = EventSeries(numbered=True, begun=True)
    series.begin_body()
    assert series.judge(b"id: 4\ndata: 4\n\n", 4, 5) is Piece.KNOWN
    assert series.judge(b"id: 5\ndata: 5\n\n", 5, 5) is Piece.KNOWN
    assert series.judge(b"id: 6\ndata: 6\n\n", 6, 5) is Piece.NEXT
    assert series.judge(b"id: 6\ndata: 6\n\n", 6, 6) is Piece.BACKWARDS


def test_series_without_numbers_goes_on_nowhere():
    # Its caller would get what it has a second time.
    series = EventSeries(numbered=False, begun=False)
    assert judge_all(series, "data: a\n\n", "data: b\n\n") is Piece.NEXT
    assert not series.may_go_on
    assert judge_all(series, HEAD) is Piece.TEXT


def test_body_that_is_no_series_is_passed_on_by_its_own_target_alone():
    series = EventSeries(numbered=False, begun=False)
    assert judge_all(series, PAGE, "more\n\n") is Piece.NEXT
    assert not series.may_go_on
    rest = EventSeries(numbered=False, begun=False)
    rest.begin_body()
    assert judge_all(rest, PAGE) is Piece.TEXT


@pytest.mark.parametrize("framed", (True, False))
@pytest.mark.parametrize("path", ("/llm/x", "/resume/x"))
@pytest.mark.parametrize("foreign", FOREIGN.values(), ids=FOREIGN)
def test_error_in_a_streams_own_connection_breaks_it_off(
    foreign, path, framed
):
    # The head or text of an error stood among the events of the stream.
    async def test(parts):
        parts.engines.facts = AnswerFacts(framed=framed)
        caller, task, run = await begin(parts, path)
        run.make(0, foreign[0])
        run.end()
        if path == "/resume/x":
            fresh = await parts.engines.wait_run(2)
            assert fresh.number == 2
            fresh.facts = AnswerFacts()
            fresh.make(2)
            fresh.end()
        await task
        wanted = [1, 2, 3, 4] if path == "/resume/x" else [1, 2]
        assert caller.data == render(wanted)
        assert caller.finished is (path == "/resume/x")
        assert caller.aborted is not caller.finished
        (line,) = parts.read_lines("piece_foreign")
        assert (line["reason"], line["after"]) == (foreign[1].value, 2)

    play(test, "a", "b")


@pytest.mark.parametrize("foreign", FOREIGN.values(), ids=FOREIGN)
@pytest.mark.parametrize("events", (0, 1))
def test_error_under_a_good_head_is_no_rest_of_a_stream(events, foreign):
    # It was relayed up to the end of its body, which told the stream as whole.
    async def test(parts):
        caller, task, run = await begin(parts, "/resume/x")
        run.cut()
        fresh = await parts.engines.wait_run(2)
        text, _ = foreign
        if not events and text.startswith(("id: 1", "id: 2")):
            # it repeats what its caller has, and tells of no more
            text += "data: trouble\n\n"
        shown = text.replace("id: 3", f"id: {3 + events}")
        fresh.make(events, shown)
        fresh.end()
        await task
        assert caller.data == render(range(1, 3 + events))
        assert caller.aborted and not caller.finished

    play(test, "a", "b")


@pytest.mark.parametrize(
    "rest", ("upstream trouble", '{"error": 1}', "id: x\ndata: y", HEAD[:-2])
)
def test_text_at_the_end_of_a_framed_body_is_no_last_event(rest):
    # It was passed on as a last event that no empty line ends.
    async def test(parts):
        caller, task, run = await begin(parts, "/resume/x")
        run.cut()
        fresh = await parts.engines.wait_run(2)
        fresh.make(1, rest)
        fresh.end()
        await task
        assert caller.data == render([1, 2, 3])
        assert caller.aborted and not caller.finished

    play(test, "a", "b")


def test_event_without_its_empty_line_ends_a_framed_body_as_before():
    async def test(parts):
        caller, task, run = await begin(parts)
        run.make(0, "id: 3\ndata: 3")
        run.end()
        await task
        assert caller.numbers == [1, 2, 3] and caller.finished

    play(test, "a")


BEGUN = ("i", "id: 1", "id: 1\nda", "da", "id: 1\ndata: a", ": c", "")


@pytest.mark.parametrize("part", BEGUN)
@pytest.mark.parametrize("path", ("/llm/x", "/resume/x"))
def test_head_of_an_error_inside_the_first_event_begins_no_stream(path, part):
    # The head of an error was told as the whole stream.
    async def test(parts):
        caller, task = parts.start(make_request(path))
        run = await parts.engines.wait_run(1)
        run.make(0, part + HEAD)
        run.end()
        if path == "/resume/x":
            fresh = await parts.engines.wait_run(2)
            fresh.make(1)
            fresh.end()
            await task
            assert caller.data == render([1]) and caller.finished
        else:
            with pytest.raises(RequestError):
                await task
            assert caller.status is None

    play(test, "a", "b")


@pytest.mark.parametrize("text", ("trouble", PAGE, '{"error": 1}\n\n'))
def test_text_that_is_declared_as_events_begins_no_stream(text):
    # It was told as a whole stream.
    async def test(parts):
        parts.engines.facts = AnswerFacts(declares_events=True)
        caller, task = parts.start(make_request())
        run = await parts.engines.wait_run(1)
        run.make(0, text)
        run.end()
        with pytest.raises(RequestError):
            await task
        assert caller.status is None

    play(test, "a")


@pytest.mark.parametrize(
    "part", ("data: thr", "da", "id", "id: 3", "event: token\nda")
)
def test_event_that_an_error_cuts_is_not_forgotten(part):
    # An empty answer told the stream whole without the event that had begun.
    async def test(parts):
        caller, task, run = await begin(parts, "/resume/x")
        run.make(0, part + HEAD)
        run.cut()
        fresh = await parts.engines.wait_run(2)
        fresh.end()
        await task
        assert caller.data == render([1, 2])
        assert caller.aborted and not caller.finished

    play(test, "a", "b")


@pytest.mark.parametrize("text", ("trouble", PAGE, '{"error": 1}\n\n'))
def test_text_does_not_go_on_with_a_series_of_ids_that_are_no_numbers(text):
    # A caller's own rest was told as whole behind the text of an error.
    async def test(parts):
        request = make_request("/resume/x", last_event="five")
        caller, task = parts.start(request)
        for count in (1, 2):
            run = await parts.engines.wait_run(count)
            run.make(0, text)
            run.end()
        with pytest.raises(RequestError):
            await task
        assert caller.status is None

    play(test, "a", "b")


def test_series_without_numbers_is_broken_off_and_never_resumed():
    # The next target began anew, so its caller got all events twice.
    async def test(parts):
        caller, task = parts.start(make_request("/resume/x"))
        run = await parts.engines.wait_run(1)
        run.make(0, "data: a\n\n")
        run.cut()
        await task
        assert caller.data == b"data: a\n\n"
        assert caller.aborted and not caller.finished
        assert len(parts.engines.answers) == 1

    play(test, "a", "b")


@pytest.mark.parametrize("begins_first", (True, False))
@pytest.mark.parametrize("text", ("data: {}\n\n", "page {}\n\n"))
def test_series_without_numbers_is_not_stopped_for_a_move(text, begins_first):
    # It was stopped at a target that left, and could go on nowhere.
    first, second = text.format("a"), text.format("b")

    async def test(parts):
        caller, task = parts.start(make_request())
        run = await parts.engines.wait_run(1)
        if not begins_first:
            parts.leave(run.target)
            await asyncio.sleep(1.0)
        # fake engines move what has a number
        run.number += 1
        run.make(0, first)
        await wait_until(lambda: caller.data)
        parts.leave(run.target)
        # longer than a move takes
        await asyncio.sleep(1.0)
        assert not run.stopped
        run.make(0, second)
        await wait_until(lambda: run.is_read)
        run.end()
        await task
        assert caller.data.decode() == first + second and caller.finished

    play(test, "a", "b")


def render(numbers) -> bytes:
    """Return the events with these numbers as fake engines send them."""
    return "".join(f"id: {n}\ndata: {n}\n\n" for n in numbers).encode()
