"""Tests of ends without a length whose check is answered with an error."""

import pytest

from chivepier.gateway.serving import AnswerFacts
from chivepier.gateway.serving.tests.parts import begin_without_length
from chivepier.gateway.serving.tests.parts import play
from chivepier.gateway.serving.tests.test_nexttargets import allow_repeats
from chivepier.gateway.serving.tests.test_nexttargets import spoil_next
from chivepier.gateway.serving.tests.test_nexttargets import WAYS

# Seconds without an event after which callers give up a stream.
CALLER_SECONDS = 2.0


def answer_unsigned(engines, name: str) -> None:
    """Have a target answer without a signature."""
    send = engines.send

    async def send_unsigned(target, *args):
        run = await send(target, *args)
        if target.instance == name:
            run.facts = AnswerFacts(signed=False)
            run.end()
        return run

    engines.send = send_unsigned


ERRORS = {"error": WAYS["error"], "unsigned": answer_unsigned}


@pytest.mark.parametrize("attempts", (2, 4))
@pytest.mark.parametrize("way", ERRORS)
def test_error_is_no_word_that_nothing_follows(way, attempts):
    # An end was told as whole though the target that was asked had failed.
    async def test(parts):
        allow_repeats(parts, attempts)
        caller, task, run = await begin_without_length(parts, "/resume/x")
        spoil_next(parts, ERRORS[way], 10)
        run.end()
        await task
        assert caller.numbers == [1, 2]
        assert caller.aborted and not caller.finished

    play(test, "a", "b", "c", "d", "e")


@pytest.mark.parametrize("events", (0, 1))
@pytest.mark.parametrize("way", ERRORS)
def test_next_target_tells_what_follows_after_an_error(way, events):
    # The check of an end was given up at the first target that failed.
    async def test(parts):
        allow_repeats(parts)
        caller, task, run = await begin_without_length(parts, "/resume/x")
        count = len(parts.engines.answers)
        spoil_next(parts, ERRORS[way], 1)
        run.end()
        runs = count + (2 if way == "unsigned" else 1)
        fresh = await parts.engines.wait_run(runs)
        fresh.facts = AnswerFacts()
        fresh.make(events)
        fresh.end()
        await task
        assert caller.numbers == [1, 2, 3][: 2 + events]
        assert caller.finished and not caller.aborted

    play(test, "a", "b", "c", "d")


def test_broken_answer_after_an_error_is_no_word_that_nothing_follows():
    # The end was told as whole though all that were asked had failed.
    async def test(parts):
        allow_repeats(parts)
        caller, task, run = await begin_without_length(parts, "/resume/x")
        spoil_next(parts, ERRORS["error"], 1)
        run.end()
        fresh = await parts.engines.wait_run(2)
        fresh.cut()
        await task
        assert caller.aborted and not caller.finished

    play(test, *"abcd")


def test_word_after_an_error_settles_an_end():
    # A stream was broken off though a target had told that nothing follows.
    async def test(parts):
        allow_repeats(parts)
        caller, task, run = await begin_without_length(parts, "/resume/x")
        spoil_next(parts, ERRORS["error"], 1)
        run.end()
        fresh = await parts.engines.wait_run(2)
        fresh.end()
        await task
        assert caller.finished and not caller.aborted

    play(test, *"abcd")


def test_few_targets_are_asked_what_follows_an_end():
    # Twenty ran the whole prompt for an end that is whole most of the time.
    async def test(parts):
        allow_repeats(parts, attempts=20)
        caller, task, run = await begin_without_length(parts, "/resume/x")
        spoil_next(parts, ERRORS["error"], 20)
        run.end()
        await task
        assert caller.aborted
        assert len(parts.engines.orders) == 3

    play(test, *"abcdefgh")


@pytest.mark.parametrize("way", ("refusal", "ended"))
def test_word_for_an_end_stands_where_the_target_asked_has_not_run(way):
    # Full targets must not cost callers the ends of whole streams.
    async def test(parts):
        allow_repeats(parts)
        caller, task, run = await begin_without_length(parts, "/resume/x")
        spoil_next(parts, WAYS[way], 10)
        run.end()
        await task
        assert caller.numbers == [1, 2]
        assert caller.finished and not caller.aborted

    play(test, "a", "b")
