"""Tests of streams whose target leaves, fails or disconnects."""

import asyncio

import pytest

from chivepier.gateway.serving.tests.fakeengines import make_target
from chivepier.gateway.serving.tests.parts import begin
from chivepier.gateway.serving.tests.parts import finish
from chivepier.gateway.serving.tests.parts import make_request
from chivepier.gateway.serving.tests.parts import play
from chivepier.gateway.serving.tests.parts import wait_until
from chivepier.types import Ran
from chivepier.types import RequestError


def test_moved_stream_has_each_event_once_in_order():
    # Events must not be lost, duplicated or truncated by a move.
    async def test(parts):
        caller, task, run = await begin(parts)
        parts.leave(run.target)
        fresh = await parts.engines.wait_run(2)
        assert fresh.target != run.target and run.stopped
        assert [last for _, _, last in parts.engines.moves] == [False, True]
        await finish(task, fresh, 3)
        assert caller.numbers == [1, 2, 3, 4, 5]
        assert caller.finished and not caller.aborted

    play(test, "a", "b")


def test_events_that_come_twice_are_passed_on_once():
    async def test(parts):
        caller, task, run = await begin(parts)
        parts.leave(run.target)
        fresh = await parts.engines.wait_run(2)
        fresh.number = 0
        await finish(task, fresh, 4)
        assert caller.numbers == [1, 2, 3, 4]

    play(test, "a", "b")


def test_partial_event_is_not_relayed():
    # A source may stop in the middle of an event. The caller must not get the
    # partial event, followed by the complete one of the next target.
    async def test(parts):
        caller, task, run = await begin(parts)
        run.make(0, "id: 3\nda")
        parts.leave(run.target)
        fresh = await parts.engines.wait_run(2)
        await finish(task, fresh, 1)
        assert caller.data.endswith(b"\n\nid: 3\ndata: 3\n\n")

    play(test, "a", "b")


def test_destination_without_room_is_passed_over():
    async def test(parts):
        caller, task, run = await begin(parts)
        others = [n for n in ("a", "b", "c") if n != run.target]
        parts.engines.full = {others[0]}
        parts.leave(run.target)
        fresh = await parts.engines.wait_run(2)
        assert fresh.target == others[1]
        await finish(task, fresh)
        assert caller.finished

    play(test, "a", "b", "c")


def test_stream_moves_to_a_slow_target_if_fast_ones_refuse():
    # The fast ones, full for longer than the notice, were asked over again.
    async def test(parts):
        for name in "abcd":
            parts.report_pace(name, 0.7, 0.7 * 2.5)
            parts.loads.adjust_own(name, tokens=50_000)
        parts.report_pace("slow", 1.7, 1.7 * 2.5)
        caller, task, run = await begin(parts)
        assert run.target != "slow"
        parts.engines.full = set("abcd")
        parts.leave(run.target)
        fresh = await parts.engines.wait_run(2)
        assert fresh.target == "slow"
        await finish(task, fresh)

    play(test, *"abcd", "slow")


def test_runs_of_a_leaving_target_do_not_all_go_to_one():
    # Load must be booked at the destination during a copy. Otherwise all runs
    # of a leaving target choose the same least-loaded destination and fill it.
    async def test(parts):
        caller, task, run = await begin(parts)
        started = asyncio.Event()
        release = asyncio.Event()
        move = parts.engines.move
        booked = {}

        async def hold(source, identity, destination, last, *rest):
            started.set()
            total = parts.loads.get_total(destination.instance, 0.0)
            booked[destination.instance] = total.tokens
            await release.wait()
            return await move(source, identity, destination, last, *rest)

        parts.engines.move = hold
        parts.leave(run.target)
        await started.wait()
        assert list(booked.values()) == [100 + 256]
        release.set()
        fresh = await parts.engines.wait_run(2)
        await finish(task, fresh)

    play(test, "a", "b")


def test_room_is_looked_for_as_long_as_the_notice_lasts():
    # Destinations may be full for just some milliseconds. If the search is not
    # repeated, streams are cut with more than a second of notice left.
    async def test(parts):
        caller, task, run = await begin(parts)
        parts.engines.full = {"a", "b", "c"} - {run.target}
        parts.leave(run.target)
        await wait_until(lambda: len(parts.engines.moves) == 2)
        parts.engines.full.clear()
        fresh = await parts.engines.wait_run(2)
        await finish(task, fresh)
        assert caller.finished and fresh.target != run.target

    play(test, "a", "b", "c")


def test_nothing_is_kept_of_a_target_whose_last_run_has_ended():
    # Guards against a leak: state of targets that are gone must be deleted.
    async def test(parts):
        streams = []
        for number in (1, 2):
            caller, task = parts.start(make_request(id=f"r{number}"))
            run = await parts.engines.wait_run(number)
            run.make(1)
            await caller.wait_events(1)
            streams.append((run, task))
        parts.table.put(make_target("b", "llm"))
        parts.report_copying("z-last", "a", milliseconds=600)
        parts.leave("a")
        await asyncio.sleep(0)
        for run, _ in streams:
            run.end()
        await asyncio.gather(*(task for _, task in streams))
        await wait_until(lambda: not parts.mover.busy)

    play(test, "a")


def test_one_generation_at_a_time_is_copied_off_a_target():
    # If copies are made at once, the short second copies of stopped runs wait
    # behind the long first copies of others.
    async def test(parts):
        caller, task, run = await begin(parts)
        parts.report_copying("z-last", run.target, milliseconds=600)
        parts.leave(run.target)
        await asyncio.sleep(0.2)
        assert not parts.engines.moves
        parts.report_copying("z-last", run.target, milliseconds=0)
        fresh = await parts.engines.wait_run(2)
        await finish(task, fresh)

    play(test, "a", "b")


def test_stream_that_ends_before_its_move_is_whole():
    async def test(parts):
        caller, task, run = await begin(parts)
        run.end()
        parts.leave(run.target)
        await task
        assert caller.finished and caller.numbers == [1, 2]

    play(test, "a", "b")


def test_run_that_has_not_begun_is_moved_when_it_begins():
    # A run that is queued when its target starts to leave has no memory to
    # copy yet. If the move is not retried, its stream is cut.
    async def test(parts):
        caller, task = parts.start(make_request())
        run = await parts.engines.wait_run(1)
        parts.leave(run.target)
        await wait_until(lambda: parts.mover.busy)
        await asyncio.sleep(0)
        assert not parts.engines.moves
        run.make(1)
        fresh = await parts.engines.wait_run(2)
        await finish(task, fresh, 1)
        assert caller.numbers == [1, 2]

    play(test, "a", "b")


def test_run_that_broke_before_its_first_event_is_not_moved_any_more():
    # Otherwise copies of the lost run are ordered until the entry ends.
    async def test(parts):
        caller, task = parts.start(make_request())
        run = await parts.engines.wait_run(1)
        parts.leave(run.target)
        await wait_until(lambda: parts.mover.busy)
        run.cut()
        with pytest.raises(RequestError):
            await task
        await wait_until(lambda: not parts.mover.busy)

    play(test, "a", "b")


def test_stream_that_can_not_go_on_is_cut_visibly():
    async def test(parts):
        caller, task, run = await begin(parts)
        run.cut()
        await task
        assert caller.aborted and not caller.finished
        assert caller.numbers == [1, 2]

    play(test, "a")


def test_stream_that_breaks_before_its_first_event_fails_as_unknown():
    async def test(parts):
        caller, task = parts.start(make_request())
        run = await parts.engines.wait_run(1)
        run.cut()
        with pytest.raises(RequestError):
            await task
        assert caller.status is None
        assert len(parts.engines.orders) == 1

    play(test, "a", "b")


def test_resumable_stream_goes_on_anew_after_a_crash():
    async def test(parts):
        caller, task, run = await begin(parts, "/resume/x")
        parts.engines.unreachable = {run.target}
        run.cut()
        fresh = await parts.engines.wait_run(2)
        assert fresh.target != run.target
        await finish(task, fresh, 1)
        assert caller.numbers == [1, 2, 3]

    play(test, "a", "b")


def test_caller_that_leaves_ends_the_run_and_its_move():
    # Otherwise a target goes on running for a caller that has disconnected.
    # The stream is closed, nothing more is sent, and its load is freed.
    async def test(parts):
        caller, task, run = await begin(parts)
        parts.leave(run.target)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await asyncio.sleep(0)
        assert run.closed and len(parts.engines.answers) == 1
        own = [record for record in parts.loads.list_own() if record.runs]
        assert not own

    play(test, "a", "b")


def test_notice_that_is_repeated_moves_once():
    async def test(parts):
        caller, task, run = await begin(parts)
        parts.leave(run.target)
        parts.leave(run.target)
        fresh = await parts.engines.wait_run(2)
        assert len(parts.engines.moves) == 2
        await finish(task, fresh)

    play(test, "a", "b")


def test_stream_of_a_target_that_starts_again_is_ended_at_once():
    # If the network was cut during the restart, the old connection stays open
    # without data, and the stream would hang.
    async def test(parts):
        caller, task, run = await begin(parts)
        parts.restart(run.target, born=200)
        await task
        assert caller.aborted and caller.numbers == [1, 2]
        assert not parts.loads.get_total(run.target, 0.0).runs

    play(test, "a")


def test_resumable_stream_goes_on_when_its_target_starts_again():
    # As above, on a route that allows a second run: it continues elsewhere
    # after the last event, without waiting until the target is unreachable.
    async def test(parts):
        caller, task, run = await begin(parts, "/resume/x")
        parts.restart(run.target, born=200)
        fresh = await parts.engines.wait_run(2)
        assert fresh.target != run.target
        await finish(task, fresh, 1)
        assert caller.numbers == [1, 2, 3] and caller.finished

    play(test, "a", "b")


def test_request_that_waits_for_a_target_that_starts_again_is_answered():
    # The target restarts before the first event: the caller must not wait
    # until its deadline. The request may have run, so its outcome is unknown.
    async def test(parts):
        caller, task = parts.start(make_request())
        run = await parts.engines.wait_run(1)
        parts.restart(run.target, born=200)
        with pytest.raises(RequestError) as caught:
            await task
        assert caught.value.failure.ran is Ran.UNKNOWN

    play(test, "a")


def test_target_that_starts_again_is_not_avoided_for_its_earlier_life():
    # A run lost with the previous process must not cause the new one, with all
    # its memory free, to be avoided for half a second.
    async def test(parts):
        caller, task = parts.start(make_request())
        run = await parts.engines.wait_run(1)
        parts.restart(run.target, born=200)
        with pytest.raises(RequestError):
            await task
        sound = parts.health.select_healthy(["a", "b"], 0.0)
        assert sound == {"a", "b"}

    play(test, "a", "b")
