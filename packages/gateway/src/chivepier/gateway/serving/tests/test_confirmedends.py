"""Tests of ends of streams that another target is asked about."""

import asyncio

import attrs
import pytest

from chivepier.gateway.quarantine import Ending
from chivepier.gateway.quarantine import Incarnation
from chivepier.gateway.serving import AnswerFacts
from chivepier.gateway.serving.tests.parts import begin
from chivepier.gateway.serving.tests.parts import begin_without_length
from chivepier.gateway.serving.tests.parts import make_request
from chivepier.gateway.serving.tests.parts import play
from chivepier.gateway.serving.tests.parts import RESUMABLE
from chivepier.standins.loopclock import tell_time

WITHOUT_LENGTH = AnswerFacts(framed=False)
# Seconds without a byte after which callers give up a stream.
CALLER_SECONDS = 2.0


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
        caller, task, run = await begin_without_length(parts, "/resume/x")
        run.make(0, "id: 2\nda")
        run.end()
        fresh = await parts.engines.wait_run(2)
        fresh.end()
        await task
        assert caller.numbers == [1, 2]
        assert caller.finished and not caller.aborted

    play(test, "a", "b")


def test_event_without_a_number_is_no_part_of_a_numbered_series():
    # Nobody could tell whether its caller has it, so it came again.
    async def test(parts):
        caller, task, run = await begin_without_length(parts, "/resume/x")
        run.make(0, "data: [DONE]\n\n")
        run.end()
        fresh = await parts.engines.wait_run(2)
        fresh.make(0, "data: [DONE]\n\n")
        fresh.end()
        await task
        assert caller.numbers == [1, 2]
        assert caller.data.count(b"[DONE]") == 0
        assert caller.aborted and not caller.finished
        lines = parts.read_lines("piece_foreign")
        assert [line["reason"] for line in lines] == ["unnumbered"] * 2

    play(test, "a", "b")


@pytest.mark.parametrize("framed", (True, False))
def test_word_for_an_end_falls_with_a_part_of_what_follows(framed):
    # An empty third run made whole what the second had shown to go on.
    async def test(parts):
        routes = (attrs.evolve(RESUMABLE, attempts=3),)
        parts.configure(routes=routes, version=2)
        for _ in range(100):
            # repeats are earned by requests
            parts.dispatcher.budget.note_request("llm", tell_time())
        caller, task, run = await begin_without_length(parts, "/resume/x")
        run.end()
        fresh = await parts.engines.wait_run(2)
        fresh.make(0, "id: 3\nda")
        fresh.cut()
        third = await parts.engines.wait_run(3)
        third.facts = AnswerFacts(framed=framed)
        third.end()
        await task
        assert caller.numbers == [1, 2]
        assert caller.aborted and not caller.finished

    play(test, "a", "b", "c")


def test_word_for_an_end_falls_with_an_event_without_a_number():
    # A third run that was cut made whole what the second had shown to go on.
    async def test(parts):
        routes = (attrs.evolve(RESUMABLE, attempts=3),)
        parts.configure(routes=routes, version=2)
        for _ in range(100):
            # repeats are earned by requests
            parts.dispatcher.budget.note_request("llm", tell_time())
        caller, task, run = await begin_without_length(parts, "/resume/x")
        run.end()
        fresh = await parts.engines.wait_run(2)
        fresh.make(0, "data: more\n\n")
        fresh.cut()
        third = await parts.engines.wait_run(3)
        third.cut()
        await task
        assert caller.numbers == [1, 2] and b"more" not in caller.data
        assert caller.aborted and not caller.finished

    play(test, "a", "b", "c")


@pytest.mark.parametrize("leaving", (True, False))
def test_empty_run_that_was_broken_off_is_no_first_end(leaving):
    # Nobody is asked for word there, and one that leaves may drop what waits.
    async def test(parts):
        routes = (attrs.evolve(RESUMABLE, attempts=3),)
        parts.configure(routes=routes, version=2)
        for _ in range(100):
            # repeats are earned by requests
            parts.dispatcher.budget.note_request("llm", tell_time())
        caller, task, run = await begin_without_length(parts, "/resume/x")
        run.cut()
        fresh = await parts.engines.wait_run(2)
        if leaving:
            parts.table.mark_leaving(fresh.target, 0, tell_time())
        parts.engines.mute.add(fresh.target)
        fresh.end()
        third = await parts.engines.wait_run(3)
        third.end()
        await task
        assert caller.numbers == [1, 2]
        assert caller.aborted and not caller.finished

    play(test, "a", "b", "c")


def test_event_without_a_number_does_not_complete_a_numbered_series():
    # It moved no number on, so the caller still seemed to lack it.
    async def test(parts):
        caller, task, run = await begin(parts, "/resume/x")
        run.make(0, "data: [DO")
        run.cut()
        fresh = await parts.engines.wait_run(2)
        fresh.make(0, "data: [DONE]\n\n")
        fresh.end()
        await task
        assert caller.numbers == [1, 2]
        assert b"[DO" not in caller.data
        assert caller.aborted and not caller.finished

    play(test, "a", "b")


WAYS_TO_BE_SLOW = ("head", "event", "both")


@pytest.mark.parametrize("way", WAYS_TO_BE_SLOW)
def test_caller_of_a_whole_stream_does_not_wait_long_for_its_check(way):
    # The head and the first event of the check each had a time of their own.
    async def test(parts):
        caller, task, run = await begin_without_length(parts, "/resume/x")
        loop = asyncio.get_running_loop()
        began = loop.time()
        if way != "event":
            parts.engines.heads.clear()
            if way == "both":
                loop.call_later(0.9, parts.engines.heads.set)
        run.end()
        await task
        seconds = loop.time() - began
        print(f"{way}: {seconds:.3f} s")
        assert caller.finished and not caller.aborted
        assert caller.numbers == [1, 2]
        assert seconds < CALLER_SECONDS

    play(test, "a", "b")


def test_caller_of_a_whole_stream_does_not_wait_for_a_permit_and_an_answer():
    # The wait for a permit came on top of that for an answer.
    async def test(parts):
        caller, task, run = await begin_without_length(parts, "/resume/x")
        loop = asyncio.get_running_loop()
        acquire = parts.dispatcher.gate.acquire_resume_permit

        async def acquire_late(*args):
            await asyncio.sleep(0.9)
            await acquire(*args)

        parts.dispatcher.gate.acquire_resume_permit = acquire_late
        parts.engines.heads.clear()
        began = loop.time()
        run.end()
        await task
        seconds = loop.time() - began
        print(f"{seconds:.3f} s")
        assert caller.finished and not caller.aborted
        assert seconds < 1.8

    play(test, "a", "b")


def test_check_without_a_permit_is_no_loss_of_its_target():
    # Nothing was sent to it.
    async def test(parts):
        caller, task, run = await begin_without_length(parts, "/resume/x")

        async def wait_long(*args):
            await asyncio.sleep(5.0)

        parts.dispatcher.gate.acquire_resume_permit = wait_long
        began = asyncio.get_running_loop().time()
        run.end()
        await task
        assert asyncio.get_running_loop().time() - began < CALLER_SECONDS
        assert caller.finished
        assert parts.read_lines("target_lost") == []

    play(test, "a", "b")


def test_check_does_not_lengthen_what_a_stream_is_known_to_take():
    # The estimate of a stream's time held the wait for its check.
    async def test(parts):
        caller, task, run = await begin_without_length(parts, "/resume/x")
        seen = []
        parts.dispatcher.runs.note_answer = lambda plan, s: seen.append(s)
        parts.engines.heads.clear()
        run.end()
        await task
        assert caller.finished
        (seconds,) = seen
        assert seconds < 0.5

    play(test, "a", "b")


def test_end_whose_target_was_slow_to_vouch_for_it_is_not_checked():
    # The check began when the caller had waited for a second already.
    async def test(parts):
        caller, task, run = await begin_without_length(parts, "/resume/x")
        began_at = asyncio.get_running_loop().time()
        began, goes_on = parts.engines.hold_question()
        parts.engines.heads.clear()
        run.end()
        await began.wait()
        await asyncio.sleep(1.1)
        goes_on.set()
        await task
        assert asyncio.get_running_loop().time() - began_at < CALLER_SECONDS
        assert caller.finished and not caller.aborted

    play(test, "a", "b")


@pytest.mark.parametrize("endings, runs", ((0, 2), (2, 1)))
def test_request_under_which_targets_ended_is_not_run_to_check_its_end(
    endings, runs
):
    # One more target could end of a check that its caller did not need.
    async def test(parts):
        caller, task, run = await begin_without_length(parts, "/resume/x")
        digest = parts.planner.plan(make_request("/resume/x")).digest
        parts.quarantine.merge(
            Ending(
                digest,
                Incarnation(f"other{number}", 1),
                tell_time(),
                "e2",
                "refused",
            )
            for number in range(endings)
        )
        run.end()
        await asyncio.wait({task}, timeout=0.5)
        parts.engines.answers[-1].end()
        await task
        assert caller.finished and caller.numbers == [1, 2]
        assert len(parts.engines.answers) == runs

    play(test, "a", "b")


def test_check_does_not_wait_for_what_became_of_earlier_targets():
    # They are asked once the attempts of the route are used up.
    async def test(parts):
        caller, task, run = await begin_without_length(parts, "/resume/x")
        run.cut()
        fresh = await parts.engines.wait_run(2)
        fresh.make(1)
        await caller.wait_events(3)
        identify = parts.engines.identify

        async def hang(target, *args):
            if target.instance == run.target:
                await asyncio.sleep(1.3)
            return await identify(target, *args)

        parts.engines.identify = hang
        parts.engines.mute.add(run.target)
        parts.engines.heads.clear()
        began = asyncio.get_running_loop().time()
        fresh.end()
        await task
        seconds = asyncio.get_running_loop().time() - began
        print(f"{seconds:.3f} s")
        assert caller.finished and caller.numbers == [1, 2, 3]
        assert seconds < 1.1

    play(test, "a", "b", "c")
