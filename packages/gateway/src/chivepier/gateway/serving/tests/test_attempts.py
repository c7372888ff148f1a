"""Tests of how many targets one attempt of a caller runs on."""

import asyncio

import pytest

from chivepier.gateway.serving.tests.parts import begin
from chivepier.gateway.serving.tests.parts import fail
from chivepier.gateway.serving.tests.parts import finish
from chivepier.gateway.serving.tests.parts import make_request
from chivepier.gateway.serving.tests.parts import play
from chivepier.gateway.targets import Liveness
from chivepier.standins.loopclock import tell_time
from chivepier.types import Ran


def work_for(parts, *seconds: float) -> None:
    """Make targets work for some time each, the last one from then on."""
    send, left = parts.engines.send, list(seconds)

    async def send_late(*args):
        answer = await send(*args)
        await asyncio.sleep(left.pop(0) if len(left) > 1 else left[0])
        answer.end()
        return answer

    parts.engines.send = send_late


def exhaust(parts) -> None:
    """Take all repeats that are left."""
    while parts.budget.take("web", tell_time(), 1):
        pass


def test_stream_runs_on_no_more_living_targets_than_its_route_allows():
    # Each break of a living target had the stream run at one target more.
    async def test(parts):
        caller, task, first = await begin(parts, "/resume/x")
        first.cut()
        second = await parts.engines.wait_run(2)
        second.make(1)
        await caller.wait_events(3)
        second.cut()
        await task
        assert caller.aborted and caller.numbers == [1, 2, 3]
        assert len(parts.engines.answers) == 2

    play(test, "a", "b", "c")


@pytest.mark.parametrize("liveness", (Liveness.ENDED, Liveness.UNKNOWN))
def test_targets_that_ended_or_are_cut_off_are_no_attempts(liveness):
    # A stream must survive two crashes where its route has two attempts.
    async def test(parts):
        caller, task, first = await begin(parts, "/resume/x")

        async def probe(target):
            return liveness

        parts.engines.probe = probe
        first.cut()
        second = await parts.engines.wait_run(2)
        second.make(1)
        await caller.wait_events(3)
        second.cut()
        third = await parts.engines.wait_run(3)
        await finish(task, third, 1)
        assert caller.finished and caller.numbers == [1, 2, 3, 4]

    play(test, "a", "b", "c")


def test_targets_replaced_at_once_are_no_attempts():
    # Another process at the address was taken for the target that had ended:
    # a stream that might have gone on was cut at its caller.
    async def test(parts):
        caller, task, first = await begin(parts, "/resume/x")
        parts.engines.replaced.add(first.target)
        first.cut()
        second = await parts.engines.wait_run(2)
        parts.engines.replaced.add(second.target)
        second.make(1)
        await caller.wait_events(3)
        second.cut()
        third = await parts.engines.wait_run(3)
        await finish(task, third, 1)
        assert caller.finished and caller.numbers == [1, 2, 3, 4]

    play(test, "a", "b", "c")


@pytest.mark.parametrize("mute", (True, False))
def test_targets_that_nothing_tells_to_have_ended_are_attempts(mute):
    # A listener that gives no word, or that may not be asked: not known to
    # have ended, so the stream runs on no more targets than its route allows.
    async def test(parts):
        caller, task, first = await begin(parts, "/resume/x")
        first.cut()
        second = await parts.engines.wait_run(2)
        second.make(1)
        await caller.wait_events(3)
        for name in (first.target, second.target):
            if mute:
                parts.engines.mute.add(name)
            else:
                parts.backoffs.add(name, 0, 9.0, tell_time())
        second.cut()
        await task
        assert caller.aborted and len(parts.engines.answers) == 2

    play(test, "a", "b", "c")


@pytest.mark.parametrize("goes", (True, False))
def test_target_that_went_or_started_again_is_no_attempt(goes):
    # A stream whose targets ended one after the other was cut off.
    async def test(parts):
        caller, task, first = await begin(parts, "/resume/x")
        if goes:
            target = parts.table.get(first.target)
            parts.table.mark_gone(target.instance, target.address)
        else:
            parts.restart(first.target, 5)
        first.cut()
        second = await parts.engines.wait_run(2)
        second.make(1)
        await caller.wait_events(3)
        second.cut()
        third = await parts.engines.wait_run(3)
        await finish(task, third, 1)
        assert caller.finished and caller.numbers == [1, 2, 3, 4]

    play(test, "a", "b", "c")


def test_targets_tried_before_the_first_event_are_attempts():
    # The dispatcher's own second try was forgotten as the stream broke off.
    async def test(parts):
        caller, task, first = await begin(parts, "/resume/x", events=0)
        first.cut()
        second = await parts.engines.wait_run(2)
        second.make(1)
        await caller.wait_events(1)
        second.cut()
        await task
        assert caller.aborted and caller.numbers == [1]
        assert len(parts.engines.answers) == 2

    play(test, "a", "b", "c")


def test_attempt_is_not_given_up_as_no_repeat_is_left():
    """Guards against 502 for slow calls without a budget (issue 72)."""

    async def test(parts):
        work_for(parts, 2.5)
        await parts.serve(make_request("/read/x"))
        exhaust(parts)
        sent = len(parts.engines.orders)
        caller = await parts.serve(make_request("/read/x"))
        assert caller.status == 200
        assert len(parts.engines.orders) == sent + 1

    play(test, "a", "b")


def test_attempt_that_takes_longer_than_others_is_given_up():
    """Guards against waits until the deadline for a dark target."""

    async def test(parts):
        work_for(parts, 0.1, 60.0)
        await parts.serve(make_request("/read/x"))
        exhaust(parts)
        began = tell_time()
        failure = await fail(parts, make_request("/read/x"))
        assert failure.ran is Ran.UNKNOWN
        assert tell_time() < began + 2.5

    play(test, "a", "b")
