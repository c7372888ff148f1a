"""Tests of what an entry takes and answers once it is ordered to stop."""

import asyncio

import attrs
import pytest

from chivepier.gateway.serving.prompt import Prompt
from chivepier.gateway.serving.tests.parts import begin
from chivepier.gateway.serving.tests.parts import ENGINE
from chivepier.gateway.serving.tests.parts import fail
from chivepier.gateway.serving.tests.parts import finish
from chivepier.gateway.serving.tests.parts import make_request
from chivepier.gateway.serving.tests.parts import play
from chivepier.standins.loopclock import tell_time
from chivepier.types import ErrorKind
from chivepier.types import Ran
from chivepier.types import RequestError
from chivepier.types import seconds_to_retry

LATE_SECONDS, END_SECONDS = 2.0, 6.0


def stop(parts, seconds: float = END_SECONDS) -> None:
    """Order an entry to stop."""
    now = tell_time()
    parts.serving.departure.begin(now + LATE_SECONDS, now + seconds)


def work_for(parts, seconds: float) -> None:
    """Make every target work for some time before it answers."""
    send = parts.engines.send

    async def send_late(*args):
        answer = await send(*args)
        await asyncio.sleep(seconds)
        answer.end()
        return answer

    parts.engines.send = send_late


async def stream_for(parts, seconds: float) -> None:
    """Serve a stream without a prompt that takes some time."""
    caller, task = parts.start(make_request("/resume/x", prompt=None))
    run = await parts.engines.wait_run(len(parts.engines.answers) + 1)
    run.make()
    for _ in range(round(2 * seconds)):
        await asyncio.sleep(0.5)
        run.make()
    await finish(task, run)
    assert caller.finished


@pytest.mark.parametrize("path", ("/plain/x", "/read/x", "/llm/x"))
def test_late_request_that_may_outlast_the_process_is_refused(path):
    """Guards against late requests that are cut at the end (issue 69)."""

    async def test(parts):
        stop(parts)
        await asyncio.sleep(LATE_SECONDS)
        failure = await fail(parts, make_request(path))
        assert failure.kind is ErrorKind.DRAINING
        assert failure.ran is Ran.NO and seconds_to_retry(failure) == 0
        assert not parts.engines.orders

    play(test, "a")


def test_late_request_with_a_deadline_before_the_end_is_served():
    """Guards against refusals of requests that must end in time."""

    async def test(parts):
        stop(parts)
        await asyncio.sleep(LATE_SECONDS + 0.5)
        deadline = tell_time() + 3.0
        caller, task = parts.start(make_request("/plain/x", deadline=deadline))
        run = await parts.engines.wait_run(1)
        run.end()
        await task
        assert caller.status == 200

    play(test, "a")


def test_request_that_waits_for_room_is_refused_when_it_may_not_end():
    """Guards against requests that wait until the end and are cut."""

    async def test(parts):
        parts.engines.full.add("a")
        _, task = parts.start(make_request())
        await asyncio.sleep(0.1)
        stopped_at = tell_time()
        stop(parts)
        with pytest.raises(RequestError) as caught:
            await task
        failure = caught.value.failure
        assert failure.ran is Ran.NO
        assert tell_time() <= stopped_at + LATE_SECONDS + 0.2
        assert not parts.engines.orders

    play(test, "a", engine=attrs.evolve(ENGINE, reserve_seconds=2.0))


@pytest.mark.parametrize("path", ("/plain/x", "/read/x", "/llm/x"))
def test_request_without_an_answer_gets_one_at_the_end(path):
    """Guards against connections that end without an answer."""

    async def test(parts):
        parts.engines.heads.clear()
        caller, task = parts.start(make_request(path))
        await parts.engines.sent.wait()
        stop(parts)
        await asyncio.sleep(1.0)
        assert parts.serving.departure.end() == 1
        with pytest.raises(RequestError) as caught:
            await task
        assert caught.value.failure.ran is Ran.UNKNOWN
        assert caller.status is None
        assert parts.serving.active == 0
        (line,) = parts.read_lines("cut_by_stop")
        assert line["id"] == "r1" and not line["begun"]

    play(test, "a")


def test_stream_is_aborted_at_the_end():
    """Guards against streams that look complete, or an error amid them."""

    async def test(parts):
        caller, task, _ = await begin(parts)
        stop(parts)
        parts.serving.departure.end()
        await task
        assert caller.aborted and not caller.finished
        assert caller.numbers == [1, 2]

    play(test, "a")


def test_request_at_the_end_is_refused():
    """Guards against requests taken between the end and the exit."""

    async def test(parts):
        stop(parts)
        await asyncio.sleep(END_SECONDS)
        request = make_request("/plain/x", deadline=tell_time() + 0.1)
        failure = await fail(parts, request)
        assert failure.ran is Ran.NO and not parts.engines.orders

    play(test, "a")


def test_body_that_comes_after_an_early_end_is_refused():
    """Guards against no answer where the entry ends before its last second."""

    async def test(parts):
        stop(parts)
        await asyncio.sleep(LATE_SECONDS + 0.01)
        departure = parts.serving.departure
        assert departure.end() == 0
        with pytest.raises(RequestError) as caught:
            async with asyncio.timeout(1.0), departure.hold():
                await asyncio.sleep(2.0)
        assert caught.value.failure.ran is Ran.NO

    play(test, "a")


def test_request_that_waits_for_a_configuration_at_the_end_has_not_run():
    """Guards against an answer that says that it may have run."""

    async def test(parts):
        parts.state.index = None
        _, task = parts.start(make_request("/plain/x"))
        stop(parts)
        await asyncio.sleep(0.01)
        assert parts.serving.departure.end() == 1
        with pytest.raises(RequestError) as caught:
            await task
        assert caught.value.failure.ran is Ran.NO

    play(test, "a")


def test_stream_that_is_known_to_outlast_the_process_is_refused():
    """Guards against streams that are taken and broken off (issue 72)."""

    async def test(parts):
        await stream_for(parts, 2.5)
        stop(parts, 3.5)
        await asyncio.sleep(1.2)
        failure = await fail(parts, make_request("/resume/x", prompt=None))
        assert failure.kind is ErrorKind.DRAINING
        assert failure.ran is Ran.NO and seconds_to_retry(failure) == 0
        assert len(parts.engines.orders) == 1

    play(test, "a")


def test_stream_that_is_known_to_end_in_time_is_served():
    """Guards against refusals of streams that the process can end."""

    async def test(parts):
        await stream_for(parts, 1.5)
        stop(parts, 3.5)
        await asyncio.sleep(1.2)
        await stream_for(parts, 1.5)

    play(test, "a")


def test_request_that_waits_until_it_is_known_not_to_end_is_refused():
    """Guards against waits after which what is sent is cut."""

    async def test(parts):
        parts.engines.full.add("a")
        # the estimate of its decoding is 2.5 s
        prompt = Prompt(tokens=100, max_output=250)
        _, task = parts.start(make_request(prompt=prompt))
        await asyncio.sleep(0.1)
        stopped_at = tell_time()
        stop(parts, 3.5)
        with pytest.raises(RequestError) as caught:
            await task
        assert caught.value.failure.kind is ErrorKind.DRAINING
        assert caught.value.failure.ran is Ran.NO
        assert tell_time() <= stopped_at + 1.0
        assert not parts.engines.orders

    play(test, "a", engine=attrs.evolve(ENGINE, reserve_seconds=2.0))


@pytest.mark.parametrize("pause", (-0.5, 1.3))
def test_attempt_is_not_given_up_for_one_that_can_not_end(pause):
    """Guards against repeats that are cut where one run ends (issue 72)."""

    async def test(parts):
        work_for(parts, 2.2)
        await parts.serve(make_request("/read/x"))
        sent = len(parts.engines.orders)
        if pause > 0:
            stop(parts, 3.5 + pause)
            ends_at = tell_time() + 3.5 + pause
            await asyncio.sleep(pause)
        caller, task = parts.start(make_request("/read/x"))
        if pause < 0:
            await asyncio.sleep(-pause)
            stop(parts, 3.5)
            ends_at = tell_time() + 3.5
        loop = asyncio.get_running_loop()
        left = ends_at - tell_time()
        loop.call_later(left, parts.serving.departure.end)
        await task
        assert caller.status == 200
        assert len(parts.engines.orders) == sent + 1

    play(test, "a", "b")


def test_attempt_is_given_up_for_one_that_can_end():
    """Guards against waits for a dark target while another would answer."""

    async def test(parts):
        parts.engines.failing = {"w-a": 200, "w-b": 200}
        await parts.serve(make_request("/read/x"))
        send = parts.engines.send
        names = []

        async def send_dark(target, *args):
            names.append(target.instance)
            if len(names) == 1:
                await asyncio.sleep(60.0)
            return await send(target, *args)

        parts.engines.send = send_dark
        stop(parts, 4.5)
        await asyncio.sleep(1.2)
        caller = await parts.serve(make_request("/read/x"))
        assert caller.status == 200 and len(names) == 2

    play(test, "a", "b")
