"""Tests of streams whose series of events begins with any number."""

import asyncio

import pytest

from chivepier.gateway.serving import AnswerFacts
from chivepier.gateway.serving.tests.fakeengines import make_target
from chivepier.gateway.serving.tests.parts import begin
from chivepier.gateway.serving.tests.parts import ENGINE
from chivepier.gateway.serving.tests.parts import fail
from chivepier.gateway.serving.tests.parts import finish
from chivepier.gateway.serving.tests.parts import make_request
from chivepier.gateway.serving.tests.parts import play
from chivepier.gateway.serving.tests.parts import wait_until
from chivepier.types import ErrorKind

FIRST_NUMBERS = (0, 1, 7)
PATHS = ("/llm/x", "/resume/x")
WITHOUT_LENGTH = AnswerFacts(framed=False)
PROMPT_TOKENS = 100


async def begin_at(parts, first: int, path: str, events: int = 1):
    """Start a stream that counts from a number, and relay some events."""
    parts.engines.first_number = first
    return await begin(parts, path, events)


async def begin_without_events(parts, first: int, path: str = "/resume/x"):
    """Start a stream that counts from a number, and relay nothing yet."""
    parts.engines.first_number = first
    caller, task = parts.start(make_request(path))
    return caller, task, await parts.engines.wait_run(1)


def get_last_orders(parts) -> list[str | None]:
    """Return after which event each send asked its target to begin."""
    return [order.after_event for _, order in parts.engines.orders]


@pytest.mark.parametrize("first", FIRST_NUMBERS)
@pytest.mark.parametrize("path", PATHS)
def test_first_event_is_relayed_whatever_its_number(path, first):
    # An event 0 was dropped as one that its caller had.
    async def test(parts):
        parts.engines.first_number = first
        caller, task = parts.start(make_request(path))
        run = await parts.engines.wait_run(1)
        await finish(task, run, 3)
        assert caller.numbers == [first, first + 1, first + 2]
        assert caller.finished and not caller.aborted

    play(test, "a", "b")


@pytest.mark.parametrize("first", FIRST_NUMBERS)
@pytest.mark.parametrize("text", ("", ": note\n\n", "id: 0\nda"))
def test_rerun_before_the_first_event_begins_at_the_beginning(text, first):
    # A rerun was asked for what follows event 0, which nobody had.
    async def test(parts):
        caller, task, run = await begin_without_events(parts, first)
        run.make(0, text)
        run.cut()
        fresh = await parts.engines.wait_run(2)
        await finish(task, fresh, 2)
        assert get_last_orders(parts) == [None, None]
        assert caller.numbers == [first, first + 1] and caller.finished

    play(test, "a", "b")


@pytest.mark.parametrize("first", FIRST_NUMBERS)
def test_stream_goes_on_after_its_first_event(first):
    # What the next target repeats comes once, event 0 too.
    async def test(parts):
        caller, task, run = await begin_at(parts, first, "/resume/x")
        run.cut()
        fresh = await parts.engines.wait_run(2)
        assert get_last_orders(parts) == [None, str(first)]
        fresh.number = first - 1
        await finish(task, fresh, 3)
        assert caller.numbers == [first, first + 1, first + 2]
        assert caller.finished

    play(test, "a", "b")


@pytest.mark.parametrize("first", FIRST_NUMBERS)
def test_moved_stream_goes_on_after_its_first_event(first):
    # A copy must be asked for what follows the event that the caller has.
    async def test(parts):
        caller, task, run = await begin_at(parts, first, "/llm/x")
        parts.leave(run.target)
        fresh = await parts.engines.wait_run(2)
        assert run.stopped
        assert get_last_orders(parts) == [None, str(first)]
        await finish(task, fresh, 2)
        assert caller.numbers == [first, first + 1, first + 2]
        assert caller.finished

    play(test, "a", "b")


@pytest.mark.parametrize("first", FIRST_NUMBERS)
def test_stream_moved_within_its_first_event_is_whole(first):
    # A copy was asked for what follows event 0, of which a part had come.
    async def test(parts):
        caller, task, run = await begin_without_events(parts, first, "/llm/x")
        run.make(0, f"id: {first}\nda")
        run.number = first
        await wait_until(lambda: run.is_read)
        parts.leave(run.target)
        fresh = await parts.engines.wait_run(2)
        assert get_last_orders(parts) == [None, None]
        await finish(task, fresh, 2)
        assert caller.numbers == [first, first + 1] and caller.finished

    play(test, "a", "b")


@pytest.mark.parametrize("sent", ("0", "5", "five", "", "9" * 50))
def test_rerun_without_a_new_event_has_the_id_that_the_caller_sent(sent):
    # An id that is no number became 0 on the way to the next target.
    async def test(parts):
        caller, task = parts.start(make_request("/resume/x", last_event=sent))
        run = await parts.engines.wait_run(1)
        run.cut()
        fresh = await parts.engines.wait_run(2)
        await finish(task, fresh, 1)
        assert get_last_orders(parts) == [sent, sent]
        assert len(caller.numbers) == 1 and caller.finished

    play(test, "a", "b")


@pytest.mark.parametrize("first", FIRST_NUMBERS)
def test_event_that_the_caller_has_is_not_repeated_to_it(first):
    # A caller that names event 0 has it.
    async def test(parts):
        parts.engines.first_number = first
        request = make_request("/resume/x", last_event=str(first))
        caller, task = parts.start(request)
        run = await parts.engines.wait_run(1)
        run.number = first - 1
        await finish(task, run, 3)
        assert caller.numbers == [first + 1, first + 2]

    play(test, "a", "b")


@pytest.mark.parametrize("first", FIRST_NUMBERS)
def test_end_after_one_event_is_checked_at_another_target(first):
    # An end after event 0 alone was not checked, and a part counted as whole.
    async def test(parts):
        parts.engines.facts = WITHOUT_LENGTH
        caller, task, run = await begin_at(parts, first, "/resume/x")
        run.end()
        fresh = await parts.engines.wait_run(2)
        assert get_last_orders(parts) == [None, str(first)]
        fresh.facts = AnswerFacts()
        await finish(task, fresh, 1)
        assert caller.numbers == [first, first + 1] and caller.finished

    play(test, "a", "b")


@pytest.mark.parametrize("first", FIRST_NUMBERS)
def test_part_of_the_first_event_shows_that_an_empty_end_is_none(first):
    # A part of event 0 was taken for one of an event that its caller had.
    async def test(parts):
        caller, task, run = await begin_without_events(parts, first)
        run.make(0, f"id: {first}\nda")
        run.cut()
        fresh = await parts.engines.wait_run(2)
        fresh.end()
        await asyncio.wait({task})
        assert task.exception().failure.kind is ErrorKind.TARGET_FAILED
        assert not caller.begun and not caller.finished

    play(test, "a", "b")


@pytest.mark.parametrize("path", PATHS)
def test_framed_answer_without_events_is_whole(path):
    # Nothing came, and no part of an event: there is nothing to contradict.
    async def test(parts):
        caller, task = parts.start(make_request(path))
        run = await parts.engines.wait_run(1)
        run.end()
        await finish(task, run)
        assert caller.finished and caller.data == b""

    play(test, "a", "b")


@pytest.mark.parametrize("events", (0, 1))
def test_last_event_that_no_empty_line_ends_is_relayed(events):
    # The unfinished event 0 of a framed answer was dropped at its end.
    async def test(parts):
        caller, task, run = await begin_at(parts, 0, "/llm/x", events)
        run.make(0, f"id: {events}\ndata: x\n")
        await finish(task, run)
        assert caller.numbers == list(range(events + 1)) and caller.finished

    play(test, "a")


def test_caller_that_has_event_0_goes_on_at_its_version():
    # It was sent to any version, as one that had no event yet.
    async def test(parts):
        for name, version in (("a", "v1"), ("b", "v2")):
            target = make_target(name, software_version=version)
            target.number = 2
            parts.table.put(target)
        request = make_request("/resume/x", last_event="0", resumes="unknown")
        failure = await fail(parts, request)
        assert failure.kind is ErrorKind.NO_TARGET
        assert parts.engines.answers == []

    play(test, "a", "b")


@pytest.mark.parametrize("first", (0, 1, 1_000_000))
def test_size_of_a_generation_does_not_depend_on_its_first_number(first):
    # Ids were taken for the number of events in estimates of memory.
    async def test(parts):
        caller, task, run = await begin_at(parts, first, "/llm/x", 5)
        (live,) = parts.mover._runs[run.target]
        expected = PROMPT_TOKENS + 5 * ENGINE.event_tokens
        assert live.held_tokens == expected
        await finish(task, run)

    play(test, "a")
