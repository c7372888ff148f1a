"""Tests of generations whose target has become unreachable."""

import asyncio

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


def announce(parts, name: str, seconds_ago: float) -> None:
    """Add a target whose last announcement is so many seconds old."""
    target = make_target(name)
    target.heard = tell_time() - seconds_ago
    parts.table.put(target)


async def simulate_silence(parts, seconds: float) -> None:
    """Simulate seconds in which no generation sent anything."""
    for runs in parts.mover._runs.values():
        for run in runs:
            run.heard_at -= seconds
    await parts.mover.cancel_silent_runs()


def test_stream_of_an_unreachable_target_is_aborted():
    # The connection to an unreachable target stays open, and the caller waited
    # until its deadline.
    async def test(parts):
        announce(parts, "a1", 0.0)
        caller, task, _ = await begin(parts)
        parts.table.get("a1").heard -= 60.0
        announce(parts, "b1", 0.0)
        await simulate_silence(parts, 5.0)
        # the target may only be partitioned and come back
        assert not task.done()
        parts.engines.ended = {"a1"}
        await simulate_silence(parts, 0.0)
        await task
        assert caller.aborted and caller.numbers == [1, 2]

    play(test)


def test_stream_of_a_silent_target_that_was_replaced_is_aborted():
    # Another process at the address was taken for the target: its caller, who
    # may have its request run once only, waited until ten seconds were over.
    async def test(parts):
        announce(parts, "a1", 0.0)
        caller, task, _ = await begin(parts)
        parts.table.get("a1").heard -= 60.0
        announce(parts, "b1", 0.0)
        parts.engines.mute = {"a1"}
        await simulate_silence(parts, 5.0)
        # nothing tells that it is gone
        assert not task.done()
        parts.engines.mute, parts.engines.replaced = set(), {"a1"}
        await simulate_silence(parts, 0.0)
        await asyncio.wait({task}, timeout=0.1)
        assert caller.aborted and caller.numbers == [1, 2]

    play(test)


def test_request_at_an_unreachable_target_fails_as_unknown():
    # The request may have run, so the error must not say that it has not.
    async def test(parts):
        announce(parts, "a1", 0.0)
        caller, task = parts.start(make_request())
        await parts.engines.wait_run(1)
        parts.table.get("a1").heard -= 60.0
        announce(parts, "b1", 0.0)
        await simulate_silence(parts, 11.0)
        await wait_until(task.done)
        failure = task.exception().failure
        assert failure.kind is ErrorKind.TIMEOUT
        assert failure.ran is Ran.UNKNOWN

    play(test)


def test_active_stream_is_kept_when_its_target_is_silent():
    # The target is partitioned from the voters only and still sends events.
    async def test(parts):
        announce(parts, "a1", 0.0)
        caller, task, run = await begin(parts)
        parts.table.get("a1").heard -= 60.0
        announce(parts, "b1", 0.0)
        parts.engines.ended = {"a1"}
        await simulate_silence(parts, 0.0)
        await finish(task, run, 2)
        assert caller.finished and caller.numbers == [1, 2, 3, 4]

    play(test)


def test_partitioned_entry_aborts_no_stream():
    # All targets are silent because this entry is partitioned from the voters.
    async def test(parts):
        announce(parts, "a1", 60.0)
        announce(parts, "b1", 60.0)
        caller, task, run = await begin(parts)
        await simulate_silence(parts, 11.0)
        await finish(task, run, 2)
        assert caller.finished

    play(test)


def test_refused_request_is_no_longer_tracked():
    async def test(parts):
        announce(parts, "a1", 0.0)
        parts.engines.refuse = {"a1"}
        failure = await fail(parts, make_request())
        assert failure.ran is Ran.NO
        await simulate_silence(parts, 11.0)

    play(test)
