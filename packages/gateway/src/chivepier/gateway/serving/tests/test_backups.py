"""Tests of streams whose memory is copied elsewhere as it grows."""

import attrs

from chivepier.gateway.serving.prompt import Prompt
from chivepier.gateway.serving.tests.parts import ENGINE
from chivepier.gateway.serving.tests.parts import make_request
from chivepier.gateway.serving.tests.parts import play
from chivepier.gateway.serving.tests.parts import wait_until

COPIED = attrs.evolve(ENGINE, backups=True)


async def begin(parts, **changes):
    """Start a stream, and return it with the name of its copy's target."""
    caller, task = parts.start(make_request(**changes))
    run = await parts.engines.wait_run(1)
    run.make(2)
    await caller.wait_events(2)
    _, order = parts.engines.orders[0]
    backup = order.backup.partition(":")[0] if order.backup else None
    return caller, task, run, backup


def test_stream_of_a_target_that_crashes_goes_on_at_its_copy():
    # The caller's stream broke off with its target, with all that had been
    # read and generated. Its memory was sent to another target as it grew;
    # the same request goes on there, in one series of events.
    async def test(parts):
        caller, task, run, backup = await begin(parts)
        assert backup not in (None, run.target)
        run.cut()
        fresh = await parts.engines.wait_run(2)
        assert fresh.target == backup and fresh.number == 2
        fresh.make(1)
        fresh.end()
        await task
        assert caller.numbers == [1, 2, 3] and caller.finished

    play(test, "a", "b", "c", engine=COPIED)


def test_stream_of_a_leaving_target_goes_on_at_its_copy_at_once():
    # Nine generations of a leaving target were copied one after the other
    # within its notice, and the last ones were lost. With copies that are
    # there already none has to be made.
    async def test(parts):
        caller, task, run, backup = await begin(parts)
        parts.leave(run.target)
        fresh = await parts.engines.wait_run(2)
        assert fresh.target == backup and not parts.engines.moves
        fresh.make(1)
        fresh.end()
        await task
        assert run.closed and caller.numbers == [1, 2, 3]

    play(test, "a", "b", "c", engine=COPIED)


def test_stream_goes_on_at_its_source_where_the_copy_is_missing():
    # The target that was to keep the copy had no room for it. Left before the
    # other one answers, the source would have dropped the generation.
    async def test(parts):
        caller, task, run, backup = await begin(parts)
        parts.engines.copies.clear()
        parts.leave(run.target)
        await parts.engines.moved.wait()
        assert not run.closed
        fresh = await parts.engines.wait_run(2)
        assert [last for _, _, last in parts.engines.moves] == [False, True]
        fresh.make(1)
        fresh.end()
        await task
        assert caller.numbers == [1, 2, 3] and caller.finished

    play(test, "a", "b", "c", engine=COPIED)


def test_copy_at_a_target_that_leaves_is_not_gone_on_from():
    async def test(parts):
        caller, task, run, backup = await begin(parts)
        parts.leave(backup)
        parts.leave(run.target)
        fresh = await parts.engines.wait_run(2)
        assert fresh.target not in (run.target, backup)
        assert parts.engines.moves
        fresh.end()
        await task

    play(test, "a", "b", "c", engine=COPIED)


def test_next_target_keeps_a_copy_elsewhere_too():
    async def test(parts):
        caller, task, run, backup = await begin(parts)
        run.cut()
        fresh = await parts.engines.wait_run(2)
        _, order = parts.engines.orders[-1]
        assert order.backup not in (None, f"{backup}:80")
        fresh.make(1)
        fresh.end()
        await task

    play(test, "a", "b", "c", engine=COPIED)


def test_memory_of_a_copy_is_counted_and_given_back():
    # Copies that nobody counts fill targets behind the back of all entries.
    async def test(parts):
        caller, task, run, backup = await begin(parts)
        own = parts.board.total(run.target, 0.0).tokens
        assert parts.board.total(backup, 0.0).tokens == own > 0
        assert not parts.board.total(backup, 0.0).runs
        run.make(200)
        await caller.wait_events(202)
        await wait_until(
            lambda: parts.board.total(backup, 0.0).tokens > own + 500
        )
        run.end()
        await task
        assert not parts.board.total(backup, 0.0).tokens

    play(test, "a", "b", "c", engine=COPIED)


def test_no_copies_are_kept_where_memory_binds():
    # Each copy holds as much as its generation: where targets are nearly
    # full, another request would wait for that room.
    async def test(parts):
        for name in ("a", "b", "c"):
            parts.board.change(name, tokens=65_000)
        caller, task, run, backup = await begin(parts)
        assert backup is None
        run.end()
        await task

    play(test, "a", "b", "c", engine=COPIED)


def test_short_generations_and_those_that_may_run_again_have_no_copy():
    async def test(parts):
        prompt = Prompt(tokens=100, most_output=12)
        caller, task, run, backup = await begin(parts, prompt=prompt)
        assert backup is None
        run.end()
        await task
        caller, task = parts.start(make_request("/resume/x"))
        run = await parts.engines.wait_run(2)
        assert parts.engines.orders[-1][1].backup is None
        run.make(1)
        run.end()
        await task

    play(test, "a", "b", "c", engine=COPIED)
