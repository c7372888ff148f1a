"""Tests of blocking requests that crash targets."""

import asyncio

import attrs
import pytest

from chivepier.gateway.quarantine.crashdetector import ALIVE_CHECK_SECONDS
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


def crash_on_request(parts, *names: str) -> None:
    """Make these targets crash when they receive a request."""
    parts.engines.disconnecting |= set(names)
    parts.engines.ended |= set(names)


def count_sends(parts) -> int:
    return len(parts.engines.orders)


def count_crashes(parts) -> int:
    """Count the crashes of targets that were logged."""
    return len(parts.read_lines("target_ended_under"))


async def send_until_third_crash(parts) -> None:
    """Send a request until it has crashed three targets."""
    attempts = 0
    while count_crashes(parts) < 3:
        attempts += 1
        await fail(parts, make_request("/read/x", id=f"r{attempts}"))
        # let the probe end: sends to a crashed target do not count
        await asyncio.sleep(0.01)


def test_third_crash_stops_the_retries_of_its_attempt():
    # The attempt that caused the third crash was retried at a fourth target.
    async def test(parts):
        crash_on_request(parts, "w-a", "w-b", "w-c", "w-d")
        await fail(parts, make_request("/read/x", id="r1"))
        await wait_until(lambda: count_crashes(parts) == 2)
        failure = await fail(parts, make_request("/read/x", id="r2"))
        assert failure.kind is ErrorKind.TARGET_FAILED
        assert failure.ran is Ran.UNKNOWN
        assert count_sends(parts) == 3

    play(test, "a", "b", "c", "d")


def test_request_that_crashed_three_targets_is_refused_as_not_run():
    async def test(parts):
        crash_on_request(parts, "w-a", "w-b", "w-c", "w-d")
        await send_until_third_crash(parts)
        sends = count_sends(parts)
        failure = await fail(parts, make_request("/read/x", id="again"))
        assert failure.kind is ErrorKind.HELD_BACK and failure.ran is Ran.NO
        assert seconds_to_retry(failure) > 500
        assert count_sends(parts) == sends
        line = parts.read_lines("request_held")[-1]
        assert line["id"] == "again" and line["team"] == "t1"
        assert len({end["target"] for end in line["ends"]}) == 3

    play(test, "a", "b", "c", "d")


def test_targets_replaced_at_once_count_as_crashed():
    # Another process listened at the address of each target that had crashed,
    # and was taken for it: the request went on to crash targets.
    async def test(parts):
        names = {"w-a", "w-b", "w-c", "w-d"}
        parts.engines.disconnecting |= names
        parts.engines.replaced |= names
        while count_crashes(parts) < 3:
            await fail(parts, make_request("/read/x"))
            await asyncio.sleep(ALIVE_CHECK_SECONDS + 1.0)
        sends = count_sends(parts)
        failure = await fail(parts, make_request("/read/x"))
        assert failure.kind is ErrorKind.HELD_BACK and failure.ran is Ran.NO
        assert count_sends(parts) == sends

    play(test, "a", "b", "c", "d")


@pytest.mark.parametrize(
    "changes",
    [{"body": b"other"}, {"key": "k2"}, {"url": "/read/x?y"}],
    ids=["body", "team", "query"],
)
def test_other_requests_are_not_quarantined(changes):
    # Only the same team, path, query and body are quarantined.
    async def test(parts):
        teams = (
            parts.make_team("t1", "k1"),
            parts.make_team("t2", "k2"),
        )
        parts.configure(version=2, teams=teams)
        crash_on_request(parts, "w-a", "w-b", "w-c", "w-d")
        await send_until_third_crash(parts)
        parts.engines.disconnecting.clear()
        parts.engines.failing = {f"w-{n}": 200 for n in "abcd"}
        caller = await parts.serve(make_request("/read/x", **changes))
        assert caller.status == 200

    play(test, "a", "b", "c", "d")


def test_lost_connections_without_a_crash_quarantine_nothing():
    # Targets break connections without crashing. The request is lost five
    # times, but must not be quarantined.
    async def test(parts):
        parts.engines.disconnecting = {"w-a", "w-b", "w-c"}
        for number in range(5):
            failure = await fail(
                parts, make_request("/read/x", id=f"{number}")
            )
            assert failure.kind is ErrorKind.TARGET_FAILED
        await wait_until(lambda: parts.engines.probed)
        await asyncio.sleep(0.01)
        assert not parts.read_lines("target_ended_under")

    play(test, "a", "b", "c")


def test_request_that_is_answered_elsewhere_is_not_quarantined():
    # Many callers send the same request while targets crash for other reasons.
    # Some copies are lost in the crashes, while others are answered.
    async def test(parts):
        parts.engines.failing = {f"w-{name}": 200 for name in "abc"}
        caller = await parts.serve(make_request("/read/x"))
        assert caller.status == 200
        crash_on_request(parts, "w-a", "w-b", "w-c")
        while len(parts.read_lines("ending_passed_over")) < 3:
            failure = await fail(parts, make_request("/read/x"))
            assert failure.kind is ErrorKind.TARGET_FAILED
            await asyncio.sleep(0.01)
        assert not parts.read_lines("target_ended_under")

    play(test, "a", "b", "c")


def test_stream_that_crashed_three_targets_is_not_resumed():
    # A stream that may be rerun crashes its third target. Resumed after its
    # last event, it would crash a fourth.
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


def test_answer_without_framing_does_not_clear_a_request():
    # An answer without framing ends like a crash, so it must not clear a
    # request that crashes targets.
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


def test_waiting_request_is_refused_when_it_is_quarantined():
    # The request is quarantined by another entry while it waits for capacity.
    # The caller must not have to wait for its deadline.
    async def test(parts):
        parts.engines.full = {"a"}
        caller, task = parts.start(make_request("/llm/x"))
        await wait_until(lambda: parts.queues.list_own())
        parts.hold_back(make_request("/llm/x"))
        with pytest.raises(RequestError) as caught:
            await task
        assert caught.value.failure.kind is ErrorKind.HELD_BACK
        assert count_sends(parts) == 0

    play(test, "a", engine=RESERVING)


def test_prefilling_copies_of_a_quarantined_request_are_cancelled():
    # Targets that still prefill a request that crashed three others would
    # crash as well.
    async def test(parts):
        caller, task = parts.start(make_request("/llm/x"))
        run = await parts.engines.wait_run(1)
        parts.hold_back(make_request("/llm/x"))
        with pytest.raises(RequestError) as caught:
            await task
        assert caught.value.failure.ran is Ran.UNKNOWN
        assert run.closed and count_sends(parts) == 1

    play(test, "a")


def test_running_stream_continues_when_its_request_is_quarantined():
    async def test(parts):
        caller, task, run = await begin(parts, "/llm/x", 1)
        parts.hold_back(make_request("/llm/x"))
        await asyncio.sleep(0)
        await finish(task, run, 1)
        assert caller.finished and caller.numbers == [1, 2]

    play(test, "a")


def test_running_stream_of_a_quarantined_request_is_not_migrated():
    # Its target leaves. Migrated, it could crash one more target; where it
    # is, it may still finish.
    async def test(parts):
        caller, task, run = await begin(parts, "/llm/x", 1)
        parts.hold_back(make_request("/llm/x"))
        parts.leave(run.target)
        # a migration would start within 0.1 s
        await asyncio.sleep(0.3)
        assert not parts.engines.moves
        await finish(task, run, 1)
        assert caller.finished

    play(test, "a", "b")


def test_migrating_stream_is_aborted_when_it_is_quarantined():
    # The same request is quarantined after the run was stopped and copied, but
    # before it is resumed.
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


def test_operator_can_release_or_block_a_request():
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
