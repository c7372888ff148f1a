"""Tests of stopping a run for the last copy of its KV cache."""

import asyncio

import pytest

from chivepier.gateway.serving import AnswerFacts
from chivepier.gateway.serving import MoveOutcome
from chivepier.gateway.serving import MoveResult
from chivepier.gateway.serving.tests.parts import begin
from chivepier.gateway.serving.tests.parts import finish
from chivepier.gateway.serving.tests.parts import play
from chivepier.gateway.serving.tests.parts import wait_until


def find_other(name: str) -> str:
    """Return the other one of the targets a and b."""
    return "b" if name == "a" else "a"


def test_stopped_run_resumes_at_its_source_without_capacity_elsewhere():
    # The destination has no capacity for the second copy. The run is already
    # stopped, but its source keeps the KV cache and can resume it.
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
    # The first copy of a run that had ended was never freed.
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


def test_stream_resumes_from_the_first_copy_when_its_target_is_gone():
    # The source is gone before the second copy. The first one lacks only the
    # last few tokens, which the destination generates again.
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


def test_stream_that_completes_while_its_stop_is_lost_is_complete():
    # The target ended the answer and was unreachable when the run was to be
    # stopped, and the copy was refused: the complete answer was truncated.
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
def test_stream_whose_target_refused_to_stop_is_complete(outcome):
    # The source found no destination and completed the answer. Five seconds
    # later the answer was resumed from a copy and truncated.
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
def test_end_after_an_unanswered_stop_counts_only_with_framing(framed):
    # The connection of the stop order broke, and the target completed the
    # answer, which was truncated. Without framing, the end of a stopped stream
    # looks the same, so the run is resumed.
    async def test(parts):
        caller, task, run = await begin(parts)
        run.facts = AnswerFacts(framed=framed)

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


@pytest.mark.parametrize(
    ("outcome", "handle"),
    [
        (MoveOutcome.COPIED, "h-r1"),
        (MoveOutcome.NO_ROOM, "h-r1"),
        (MoveOutcome.FAILED, ""),
    ],
)
@pytest.mark.parametrize("first", (True, False), ids=("end", "order"))
def test_end_without_a_length_of_a_run_that_may_have_stopped_is_not_whole(
    outcome, handle, first
):
    # A run that is stopped closes between two events, and its target, which
    # lives, vouches for it: the order's unknown outcome is no proof of an end.
    async def test(parts):
        caller, task, run = await begin(parts)
        run.facts = AnswerFacts(framed=False)
        answered = asyncio.Event()

        def stop():
            answered.set()
            if first:
                run.end()
            return MoveResult(outcome, handle)

        parts.engines.on_stop_order(stop)
        copied = (parts.table.get(run.target).address, "h-r1")
        parts.engines.copies.add(copied)
        parts.leave(run.target)
        await answered.wait()
        if not first:
            await wait_until(
                lambda: any(
                    line["last"] for line in parts.read_lines("memory_copied")
                )
            )
            run.end()
        fresh = await parts.engines.wait_run(2)
        await finish(task, fresh, 1)
        assert caller.numbers == [1, 2, 3]
        assert caller.finished and not caller.aborted

    play(test, "a", "b")


def test_copy_of_a_run_that_ends_while_its_stop_is_lost_is_freed():
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


def test_stop_order_that_was_not_sent_is_repeated():
    # The source was unreachable for a moment and ran on. Without another order
    # the copy became outdated, and the stream failed when the source was gone.
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


def test_stream_that_broke_before_its_stop_was_sent_resumes_from_the_copy():
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
