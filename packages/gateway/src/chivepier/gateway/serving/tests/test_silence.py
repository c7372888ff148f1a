"""Tests of generations whose target has gone without a word."""

from chivepier.gateway.serving.tests.fakeengines import make_target
from chivepier.gateway.serving.tests.parts import begin
from chivepier.gateway.serving.tests.parts import fail
from chivepier.gateway.serving.tests.parts import finish
from chivepier.gateway.serving.tests.parts import make_request
from chivepier.gateway.serving.tests.parts import play
from chivepier.gateway.serving.tests.parts import wait_until
from chivepier.standins.loopclock import tell_time
from chivepier.types import ErrorKind
from chivepier.types import Ran


def hear(parts, name: str, seconds_ago: float) -> None:
    """Let a target have announced itself so long ago."""
    target = make_target(name)
    target.heard = tell_time() - seconds_ago
    parts.table.put(target)


async def fall_silent(parts, seconds: float) -> None:
    """Let seconds pass in which nothing came of any generation."""
    for runs in parts.mover._runs.values():
        for run in runs:
            run.heard_at -= seconds
    await parts.mover.end_silent()


def test_caller_of_a_target_that_went_dark_is_told():
    # The caller of a dark target waited up to its deadline.
    async def test(parts):
        hear(parts, "a1", 0.0)
        caller, task, _ = await begin(parts)
        parts.table.get("a1").heard -= 60.0
        hear(parts, "b1", 0.0)
        await fall_silent(parts, 5.0)
        # it may be cut off and come back
        assert not task.done()
        parts.engines.ended = {"a1"}
        await fall_silent(parts, 0.0)
        await task
        assert caller.aborted and caller.numbers == [1, 2]

    play(test)


def test_caller_whose_prompt_went_with_its_target_is_told():
    # Its request may have run: that it has not is not said.
    async def test(parts):
        hear(parts, "a1", 0.0)
        caller, task = parts.start(make_request())
        await parts.engines.wait_run(1)
        parts.table.get("a1").heard -= 60.0
        hear(parts, "b1", 0.0)
        await fall_silent(parts, 11.0)
        await wait_until(task.done)
        failure = task.exception().failure
        assert failure.kind is ErrorKind.TIMEOUT
        assert failure.ran is Ran.UNKNOWN

    play(test)


def test_stream_that_goes_on_is_not_ended_with_its_target_silent():
    # The target is cut off from the voters, not from its callers.
    async def test(parts):
        hear(parts, "a1", 0.0)
        caller, task, run = await begin(parts)
        parts.table.get("a1").heard -= 60.0
        hear(parts, "b1", 0.0)
        parts.engines.ended = {"a1"}
        await fall_silent(parts, 0.0)
        await finish(task, run, 2)
        assert caller.finished and caller.numbers == [1, 2, 3, 4]

    play(test)


def test_entry_that_hears_no_target_ends_nothing():
    # It is this entry that is cut off from the voters.
    async def test(parts):
        hear(parts, "a1", 60.0)
        hear(parts, "b1", 60.0)
        caller, task, run = await begin(parts)
        await fall_silent(parts, 11.0)
        await finish(task, run, 2)
        assert caller.finished

    play(test)


def test_refused_request_is_not_waited_for():
    async def test(parts):
        hear(parts, "a1", 0.0)
        parts.engines.refuse = {"a1"}
        failure = await fail(parts, make_request())
        assert failure.ran is Ran.NO
        await fall_silent(parts, 11.0)

    play(test)
