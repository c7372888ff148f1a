"""Tests of keeping requests from targets that would end under them."""

import asyncio

import attrs
import pytest

from chivepier.gateway.serving.answerfacts import AnswerFacts
from chivepier.gateway.serving.tests.parts import begin
from chivepier.gateway.serving.tests.parts import ENGINE
from chivepier.gateway.serving.tests.parts import fail
from chivepier.gateway.serving.tests.parts import finish
from chivepier.gateway.serving.tests.parts import make_request
from chivepier.gateway.serving.tests.parts import play
from chivepier.gateway.serving.tests.parts import wait_until
from chivepier.types import ErrorKind
from chivepier.types import Ran
from chivepier.types import RequestError
from chivepier.types import seconds_to_retry

RESERVING = attrs.evolve(ENGINE, reserve_seconds=2.0)


def end_under_it(parts, *names: str) -> None:
    """Let these targets end when they are sent anything."""
    parts.engines.lose |= set(names)
    parts.engines.ended |= set(names)


def count_sends(parts) -> int:
    return len(parts.engines.orders)


def count_ends(parts) -> int:
    """Count the targets that are known to have ended."""
    return len(parts.read_lines("target_ended_under"))


async def meet_ends(parts) -> None:
    """Send a request until three targets have ended under it."""
    attempts = 0
    while count_ends(parts) < 3:
        attempts += 1
        await fail(parts, make_request("/read/x", id=f"r{attempts}"))
        # what is sent to one that has ended already shows nothing new
        await asyncio.sleep(0.01)


def test_third_end_stops_the_repeats_of_the_attempt_that_met_it():
    # The attempt that met the third end went on to a fourth target.
    async def test(parts):
        end_under_it(parts, "w-a", "w-b", "w-c", "w-d")
        await fail(parts, make_request("/read/x", id="r1"))
        await wait_until(lambda: count_ends(parts) == 2)
        failure = await fail(parts, make_request("/read/x", id="r2"))
        assert failure.kind is ErrorKind.TARGET_FAILED
        assert failure.ran is Ran.UNKNOWN
        assert count_sends(parts) == 3

    play(test, "a", "b", "c", "d")


def test_request_that_ended_three_targets_is_refused_truly_and_at_once():
    async def test(parts):
        end_under_it(parts, "w-a", "w-b", "w-c", "w-d")
        await meet_ends(parts)
        sends = count_sends(parts)
        failure = await fail(parts, make_request("/read/x", id="again"))
        assert failure.kind is ErrorKind.HELD_BACK and failure.ran is Ran.NO
        assert seconds_to_retry(failure) > 500
        assert count_sends(parts) == sends
        line = parts.read_lines("request_held")[-1]
        assert line["id"] == "again" and line["team"] == "t1"
        assert len({end["target"] for end in line["ends"]}) == 3

    play(test, "a", "b", "c", "d")


@pytest.mark.parametrize(
    "changes",
    [{"body": b"other"}, {"key": "k2"}, {"url": "/read/x?y"}],
    ids=["body", "team", "query"],
)
def test_other_requests_are_not_refused_for_it(changes):
    # Another team sends the same body to the same path, the same team sends
    # another one: they are answered.
    async def test(parts):
        teams = (
            parts.make_team("t1", "k1"),
            parts.make_team("t2", "k2"),
        )
        parts.configure(version=2, teams=teams)
        end_under_it(parts, "w-a", "w-b", "w-c", "w-d")
        await meet_ends(parts)
        parts.engines.lose.clear()
        parts.engines.failing = {f"w-{n}": 200 for n in "abcd"}
        caller = await parts.serve(make_request("/read/x", **changes))
        assert caller.status == 200

    play(test, "a", "b", "c", "d")


def test_targets_that_live_on_accuse_nobody():
    # A target fails a part of what it gets and breaks the connections. The
    # request is lost five times, but no target has ended.
    async def test(parts):
        parts.engines.lose = {"w-a", "w-b", "w-c"}
        for number in range(5):
            failure = await fail(
                parts, make_request("/read/x", id=f"{number}")
            )
            assert failure.kind is ErrorKind.TARGET_FAILED
        await wait_until(lambda: parts.engines.probed)
        await asyncio.sleep(0.01)
        assert not parts.read_lines("target_ended_under")

    play(test, "a", "b", "c")


def test_body_that_is_answered_elsewhere_is_not_held_back():
    # Many ask for the same thing while targets crash by themselves. Copies of
    # it are lost with one target after the other, and others are answered.
    async def test(parts):
        parts.engines.failing = {f"w-{name}": 200 for name in "abc"}
        caller = await parts.serve(make_request("/read/x"))
        assert caller.status == 200
        end_under_it(parts, "w-a", "w-b", "w-c")
        while len(parts.read_lines("ending_passed_over")) < 3:
            failure = await fail(parts, make_request("/read/x"))
            assert failure.kind is ErrorKind.TARGET_FAILED
            await asyncio.sleep(0.01)
        assert not parts.read_lines("target_ended_under")

    play(test, "a", "b", "c")


def test_stream_does_not_go_on_elsewhere_once_three_targets_have_ended():
    # A stream that may be resumed breaks off at its third target. Sent on
    # with the number of its last event, it would end a fourth.
    async def test(parts):
        caller, task = parts.start(make_request("/resume/x"))
        for count in (1, 2, 3):
            run = await parts.engines.wait_run(count)
            run.make(1)
            await caller.wait_events(count)
            parts.engines.ended.add(run.target)
            run.cut()
        await task
        assert caller.aborted and count_sends(parts) == 3
        assert len(parts.read_lines("suspect_held")) == 1

    play(test, "a", "b", "c", "d")


def test_answer_that_a_crash_can_end_clears_nothing():
    # An answer that ends with its connection cleared the request that ends
    # targets.
    async def test(parts):
        request = make_request("/resume/x")
        for framed in (False, True):
            parts.hold_back(request)
            parts.order(let_through=request)
            caller, task = parts.start(request)
            run = await parts.engines.wait_run(len(parts.engines.answers) + 1)
            run.facts = AnswerFacts(framed=framed)
            await finish(task, run, 1)
            parts.order()
            held = parts.quarantine.find_hold(
                parts.planner.plan(request).digest
            )
            assert (held is None) is framed

    play(test, "a")


def test_what_waits_for_room_is_answered_when_it_is_held_back():
    # It waited for room for seconds, and its third target ended meanwhile at
    # another entry. The caller need not wait for its deadline.
    async def test(parts):
        parts.engines.full = {"a"}
        caller, task = parts.start(make_request("/llm/x"))
        await wait_until(lambda: parts.queues.own())
        parts.hold_back(make_request("/llm/x"))
        with pytest.raises(RequestError) as caught:
            await task
        assert caught.value.failure.kind is ErrorKind.HELD_BACK
        assert count_sends(parts) == 0

    play(test, "a", engine=RESERVING)


def test_copies_that_are_being_read_elsewhere_are_broken_off():
    # Targets that still read a request of three ends would end as well.
    async def test(parts):
        caller, task = parts.start(make_request("/llm/x"))
        run = await parts.engines.wait_run(1)
        parts.hold_back(make_request("/llm/x"))
        with pytest.raises(RequestError) as caught:
            await task
        assert caught.value.failure.ran is Ran.UNKNOWN
        assert run.closed and count_sends(parts) == 1

    play(test, "a")


def test_stream_that_runs_is_left_alone_when_its_like_is_held_back():
    async def test(parts):
        caller, task, run = await begin(parts, "/llm/x", 1)
        parts.hold_back(make_request("/llm/x"))
        await asyncio.sleep(0)
        await finish(task, run, 1)
        assert caller.finished and caller.numbers == [1, 2]

    play(test, "a")


def test_stream_that_runs_is_not_moved_once_its_like_is_held_back():
    # Its target leaves. Stopped there and sent on with its memory, it would
    # run at one more target; where it is, it may still come to its end.
    async def test(parts):
        caller, task, run = await begin(parts, "/llm/x", 1)
        parts.hold_back(make_request("/llm/x"))
        parts.leave(run.target)
        # a move begins within a tenth of a second, when turns are taken
        await asyncio.sleep(0.3)
        assert not parts.engines.moves
        await finish(task, run, 1)
        assert caller.finished

    play(test, "a", "b")


def test_stream_under_way_to_its_next_target_is_held_back():
    # Its memory was copied and its target told to stop it; before it is sent
    # on, three targets have ended under its like.
    async def test(parts):
        caller, task, run = await begin(parts, "/llm/x", 1)
        move = parts.engines.move

        async def hold_after(*args):
            moved = await move(*args)
            parts.hold_back(make_request("/llm/x"))
            return moved

        parts.engines.move = hold_after
        parts.leave(run.target)
        await task
        assert caller.aborted and count_sends(parts) == 1

    play(test, "a", "b")


def test_operator_lets_a_request_through_or_keeps_it_out():
    async def test(parts):
        request = make_request("/read/x")
        parts.engines.failing = {"w-a": 200}
        parts.order(keep_out=request)
        failure = await fail(parts, request)
        assert failure.kind is ErrorKind.HELD_BACK
        parts.hold_back(request)
        parts.order(let_through=request)
        caller = await parts.serve(make_request("/read/x"))
        assert caller.status == 200

    play(test, "a")
