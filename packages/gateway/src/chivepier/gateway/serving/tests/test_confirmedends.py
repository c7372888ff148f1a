"""Tests of ends of streams that another target is asked about."""

import asyncio

import pytest

from chivepier.gateway.serving import AnswerFacts
from chivepier.gateway.serving.tests.parts import begin
from chivepier.gateway.serving.tests.parts import play

WITHOUT_LENGTH = AnswerFacts(framed=False)


async def begin_without_length(parts, path: str = "/resume/x"):
    """Start a stream without a length and relay its first two events."""
    parts.engines.facts = WITHOUT_LENGTH
    return await begin(parts, path)


@pytest.mark.parametrize("framed", (True, False))
def test_part_of_an_event_shows_that_an_end_without_events_is_none(framed):
    # A target that closed before its first event vouched for an end that a
    # part of the next event had shown to be none.
    async def test(parts):
        parts.engines.facts = AnswerFacts(framed=framed)
        caller, task, run = await begin(parts, "/resume/x")
        run.make(0, "id: 3\nda")
        run.cut() if framed else run.end()
        fresh = await parts.engines.wait_run(2)
        fresh.facts = WITHOUT_LENGTH
        fresh.end()
        await task
        assert caller.numbers == [1, 2]
        assert caller.aborted and not caller.finished

    play(test, "a", "b")


def test_part_of_an_event_that_the_caller_has_shows_nothing():
    async def test(parts):
        caller, task, run = await begin_without_length(parts)
        run.make(0, "id: 2\nda")
        run.end()
        fresh = await parts.engines.wait_run(2)
        fresh.end()
        await task
        assert caller.numbers == [1, 2]
        assert caller.finished and not caller.aborted

    play(test, "a", "b")


def test_last_event_without_a_number_does_not_come_twice():
    # What follows the last number was asked for, and came a second time.
    async def test(parts):
        caller, task, run = await begin_without_length(parts)
        run.make(0, "data: [DONE]\n\n")
        run.end()
        await asyncio.wait({task}, timeout=1.0)
        if not task.done():
            fresh = parts.engines.answers[-1]
            fresh.make(0, "data: [DONE]\n\n")
            fresh.end()
            await task
        assert caller.finished
        assert caller.data.count(b"[DONE]") == 1

    play(test, "a", "b")
