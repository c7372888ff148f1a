"""Tests of the order that stops a run for its last copy."""

import pytest

from chivepier.gateway.serving import MoveOutcome
from chivepier.gateway.serving import MoveResult
from chivepier.gateway.serving.tests.parts import begin
from chivepier.gateway.serving.tests.parts import finish
from chivepier.gateway.serving.tests.parts import play
from chivepier.gateway.serving.tests.parts import wait_until


def find_other(name: str) -> str:
    """Return the other one of two targets."""
    return "b" if name == "a" else "a"


def test_run_that_was_stopped_goes_on_at_its_source_without_room_elsewhere():
    # The first copy finds room, the second does not: the run is stopped,
    # but its source still keeps the memory and can go on from it.
    async def test(parts):
        caller, task, run = await begin(parts)
        source = parts.table.get(run.target).address

        def fill():
            parts.engines.full.add(find_other(run.target))
            parts.engines.copies.add((source, "h-r1"))

        parts.engines.on_stop_order(fill)
        parts.leave(run.target)
        fresh = await parts.engines.wait_run(2)
        assert fresh.target == run.target
        await finish(task, fresh, 1)
        assert caller.numbers == [1, 2, 3]

    play(test, "a", "b")


def test_copy_of_a_run_that_has_ended_is_freed():
    # The first copy of a run that has ended kept memory at the next target.
    async def test(parts):
        caller, task, run = await begin(parts)

        def end():
            run.end()
            return MoveResult(MoveOutcome.NO_RUN)

        parts.engines.on_stop_order(end)
        parts.leave(run.target)
        await task
        await wait_until(lambda: parts.engines.dropped)
        other = find_other(run.target)
        assert parts.engines.dropped == [(other, "h-r1")]
        assert caller.finished and caller.numbers == [1, 2]

    play(test, "a", "b")


def test_stream_goes_on_at_the_first_copy_when_its_target_is_gone():
    # The target is gone before the second copy. The first one holds all but
    # the last few tokens, which the next target makes again.
    async def test(parts):
        caller, task, run = await begin(parts)

        def die():
            run.cut()
            return MoveResult(MoveOutcome.FAILED)

        parts.engines.on_stop_order(die)
        parts.leave(run.target)
        fresh = await parts.engines.wait_run(2)
        assert fresh.target != run.target
        await finish(task, fresh, 1)
        assert caller.numbers == [1, 2, 3]

    play(test, "a", "b")


def test_stream_that_ends_whole_as_its_stop_is_lost_is_whole():
    # Its target was gone when the order to stop came, and the copy refused:
    # the answer, which had come to its end, was cut off.
    async def test(parts):
        caller, task, run = await begin(parts)

        def end_whole():
            run.make(1)
            run.end()
            parts.engines.copies.clear()
            parts.engines.unreachable.add(run.target)

        parts.engines.on_stop_order(end_whole)
        parts.leave(run.target)
        await task
        assert caller.numbers == [1, 2, 3]
        assert caller.finished and not caller.aborted

    play(test, "a", "b")


@pytest.mark.parametrize(
    "outcome", (MoveOutcome.NO_ROOM, MoveOutcome.BUSY, MoveOutcome.NO_RUN)
)
def test_stream_whose_target_refused_to_stop_is_whole(outcome):
    # Its target found the destination gone, and went on to the end: five
    # seconds later the answer was sent on to a copy, and cut off.
    async def test(parts):
        caller, task, run = await begin(parts)
        other, refused = find_other(run.target), []

        def refuse():
            parts.engines.full.add(other)
            parts.engines.copies.clear()
            refused.append(other)
            return MoveResult(outcome)

        parts.engines.on_stop_order(refuse)
        parts.leave(run.target)
        await wait_until(lambda: refused and not run.stopped)
        run.make(1)
        run.end()
        await task
        assert caller.numbers == [1, 2, 3]
        assert caller.finished and not caller.aborted
        assert (other, "h-r1") in parts.engines.dropped

    play(test, "a", "b")


@pytest.mark.parametrize("framed", (True, False))
def test_end_after_a_stop_without_an_answer_is_believed_by_its_frame(framed):
    # The order's connection broke, and the target went on to the end: the
    # answer was cut off. Without a frame a stopped stream ends the same way.
    async def test(parts):
        caller, task, run = await begin(parts)
        run.framed = framed

        def lose():
            run.make(1)
            run.end()
            return MoveResult(MoveOutcome.FAILED)

        parts.engines.on_stop_order(lose)
        parts.leave(run.target)
        if not framed:
            fresh = await parts.engines.wait_run(2)
            assert fresh.target != run.target
            await finish(task, fresh, 1)
        await task
        await wait_until(lambda: not parts.mover.busy)
        assert caller.numbers == [1, 2, 3] + [4] * (not framed)
        assert caller.finished and not caller.aborted
        other = find_other(run.target)
        assert parts.engines.dropped == [(other, "h-r1")] * framed

    play(test, "a", "b")


def test_copy_of_a_run_that_ends_as_its_stop_is_lost_is_freed():
    async def test(parts):
        caller, task, run = await begin(parts)

        def end_whole():
            run.end()
            parts.engines.unreachable.add(run.target)

        parts.engines.on_stop_order(end_whole)
        parts.leave(run.target)
        await task
        await wait_until(lambda: not parts.mover.busy)
        other = find_other(run.target)
        assert parts.engines.dropped == [(other, "h-r1")]
        assert caller.finished and caller.numbers == [1, 2]

    play(test, "a", "b")


def test_order_to_stop_that_never_left_is_given_again():
    # The source could not be reached for a moment, and went on: left there
    # with a copy that grows old, its stream broke off when it was gone.
    async def test(parts):
        caller, task, run = await begin(parts)
        lost = []

        def lose_first():
            if lost:
                return None
            lost.append(run.make(1))
            return MoveResult(MoveOutcome.NOT_SENT)

        parts.engines.on_stop_order(lose_first)
        parts.leave(run.target)
        fresh = await parts.engines.wait_run(2)
        assert run.stopped and lost
        await finish(task, fresh, 1)
        assert caller.numbers == [1, 2, 3, 4]

    play(test, "a", "b")


def test_stream_cut_off_where_its_stop_never_left_goes_on_at_the_copy():
    async def test(parts):
        caller, task, run = await begin(parts)

        def die():
            run.cut()
            parts.engines.unreachable.add(run.target)

        parts.engines.on_stop_order(die)
        parts.leave(run.target)
        fresh = await parts.engines.wait_run(2)
        assert fresh.target != run.target
        await finish(task, fresh, 1)
        assert caller.numbers == [1, 2, 3]

    play(test, "a", "b")
