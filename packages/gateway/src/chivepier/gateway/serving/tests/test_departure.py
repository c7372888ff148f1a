"""Tests of what an entry takes and answers once it is ordered to stop."""

import asyncio

import attrs
import pytest

from chivepier.gateway.serving.tests.parts import begin
from chivepier.gateway.serving.tests.parts import ENGINE
from chivepier.gateway.serving.tests.parts import fail
from chivepier.gateway.serving.tests.parts import make_request
from chivepier.gateway.serving.tests.parts import play
from chivepier.standins.loopclock import tell_time
from chivepier.types import ErrorKind
from chivepier.types import Ran
from chivepier.types import RequestError
from chivepier.types import seconds_to_retry

LATE_SECONDS, CLOSED_SECONDS, END_SECONDS = 2.0, 3.0, 6.0


def stop(parts) -> None:
    """Order an entry to stop."""
    now = tell_time()
    times = LATE_SECONDS, CLOSED_SECONDS, END_SECONDS
    parts.serving.departure.begin(*(now + seconds for seconds in times))


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


@pytest.mark.parametrize("seconds", (CLOSED_SECONDS, END_SECONDS))
def test_request_at_the_end_is_refused(seconds):
    """Guards against requests taken between the end and the exit."""

    async def test(parts):
        stop(parts)
        await asyncio.sleep(seconds + 0.01)
        request = make_request("/plain/x", deadline=tell_time() + 0.1)
        failure = await fail(parts, request)
        assert failure.ran is Ran.NO and not parts.engines.orders

    play(test, "a")
