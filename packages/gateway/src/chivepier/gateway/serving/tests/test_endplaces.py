"""Tests of ends of moved runs, and of an entry that is ordered to stop."""

import asyncio
import itertools

import pytest

from chivepier.gateway.serving import AnswerFacts
from chivepier.gateway.serving import MoveOutcome
from chivepier.gateway.serving import MoveResult
from chivepier.gateway.serving.tests.endways import Framing
from chivepier.gateway.serving.tests.endways import Manner
from chivepier.gateway.serving.tests.endways import Path
from chivepier.gateway.serving.tests.endways import Told
from chivepier.gateway.serving.tests.parts import begin
from chivepier.gateway.serving.tests.parts import make_request
from chivepier.gateway.serving.tests.parts import play
from chivepier.gateway.serving.tests.parts import wait_until
from chivepier.standins.loopclock import tell_time
from chivepier.types import RequestError

EVENTS = 4
STOPPED = (
    MoveResult(MoveOutcome.COPIED, "h-r1"),
    MoveResult(MoveOutcome.NO_ROOM, "h-r1"),
)
REFUSED = (
    MoveResult(MoveOutcome.NO_ROOM),
    MoveResult(MoveOutcome.BUSY),
    MoveResult(MoveOutcome.NO_RUN),
)
LOST = MoveResult(MoveOutcome.FAILED)
NOT_SENT = MoveResult(MoveOutcome.NOT_SENT)
MOVES = tuple(
    itertools.product(
        (*STOPPED, *REFUSED, LOST, NOT_SENT), (True, False), (True, False)
    )
)


def tell_moved(result: MoveResult, framed: bool, vouched: bool) -> Told:
    """Return what the caller is told of a stream that its source ended.

    :param result: what the source answered to the order to stop
    :param framed: whether its framing told the end
    :param vouched: whether it answers when it is asked
    """
    if result is STOPPED[1] and not framed and not vouched:
        # it goes on at the source, which gives no word there either
        return Told.BROKEN
    if result in STOPPED:
        return Told.RESUMED
    if framed:
        return Told.WHOLE
    if result is LOST:
        return Told.RESUMED
    if vouched:
        return Told.WHOLE
    # the first copy holds all that was made before the order to stop
    return Told.RESUMED if result is NOT_SENT else Told.BROKEN


def finish_reruns(engines) -> None:
    """Have each further run send all that follows, and end."""
    send = engines.send

    async def go_on(*args):
        fresh = await send(*args)
        if fresh.status == 200:
            fresh.make(EVENTS - fresh.number)
            fresh.end()
        return fresh

    engines.send = go_on


@pytest.mark.parametrize("result, framed, vouched", MOVES)
def test_end_at_the_source_of_a_move_is_judged_as_any_other(
    result, framed, vouched
):
    # A source that stops a run ends its stream as one that has finished it.
    async def test(parts):
        engines = parts.engines
        engines.facts = AnswerFacts(framed=framed)
        caller, task, run = await begin(parts)
        finish_reruns(engines)
        move = engines.move

        async def stop(source, request_id, destination, last, *rest):
            if run.closed:
                return MoveResult(MoveOutcome.NO_RUN)
            if not last:
                return await move(source, request_id, destination, last, *rest)
            if result is not NOT_SENT or run.number < EVENTS:
                run.make(0 if result in STOPPED else EVENTS - run.number)
                run.end()
            if result in STOPPED:
                engines.copies.add((source.address, "h-r1"))
            return result

        engines.move = stop
        if not vouched:
            engines.mute.add(run.target)
        parts.leave(run.target)
        await task
        told = {
            (True, False): (
                Told.WHOLE if len(engines.answers) == 1 else Told.RESUMED
            ),
            (False, True): Told.BROKEN,
        }[caller.finished, caller.aborted]
        assert told is tell_moved(result, framed, vouched)
        assert caller.numbers == list(range(1, EVENTS + 1))
        await wait_until(lambda: not parts.mover.busy)

    play(test, "a", "b")


# How the first run of a stream ends after its second event, and what it has
# begun to send then.
FIRST_ENDS = tuple(
    itertools.product(
        (Framing.NONE, Framing.CHUNKS), Manner, ("", "id: 3\nda")
    )
)
# What the next run, which has no event, has of a framing, its target gives as
# its word, and is about to do.
EMPTY_RUNS = tuple(
    itertools.product((True, False), (True, False), (True, False))
)


def tell_empty(first, framed: bool, vouched: bool, leaving: bool) -> Told:
    """Return what a caller is told after a run that adds nothing.

    :param first: how the run before it has ended
    :param framed: whether the framing of the empty run tells its end
    :param vouched: whether its target answers when it is asked
    :param leaving: whether its target leaves
    """
    framing, manner, begun = first
    if begun:
        # the caller lacks an event, whatever the next run tells
        return Told.BROKEN
    if framed:
        return Told.WHOLE
    # another run says the same only of what looked like an end
    looked_whole = framing is Framing.NONE and manner is Manner.ORDERLY
    is_end = looked_whole and vouched and not leaving
    return Told.WHOLE if is_end else Told.BROKEN


async def end_first(parts, run, first) -> None:
    """End the first run of a stream; its target gives no word."""
    framing, manner, begun = first
    parts.engines.mute.add(run.target)
    run.facts = AnswerFacts(framed=framing is not Framing.NONE)
    if begun:
        run.make(0, begun)
    if manner is Manner.ORDERLY and framing is Framing.NONE:
        run.end()
    elif manner is not Manner.SILENCE:
        run.cut()


@pytest.mark.parametrize("framed, vouched, leaving", EMPTY_RUNS)
@pytest.mark.parametrize("first", FIRST_ENDS)
def test_empty_run_tells_an_end_only_after_what_looked_like_one(
    first, framed, vouched, leaving
):
    # A living target that closed before its first event, or as it left, made
    # a stream whole that had broken off.
    async def test(parts):
        caller, task, run = await begin(parts, "/resume/x")
        await end_first(parts, run, first)
        fresh = await parts.engines.wait_run(2)
        fresh.facts = AnswerFacts(framed=framed)
        if not vouched:
            parts.engines.mute.add(fresh.target)
        if leaving:
            parts.table.mark_leaving(fresh.target, 0, tell_time())
        fresh.end()
        await task
        told = tell_empty(first, framed, vouched, leaving)
        assert caller.finished is (told is Told.WHOLE)
        assert caller.aborted is (told is Told.BROKEN)
        assert caller.numbers == [1, 2]

    play(test, "a", "b")


def test_moved_run_that_has_sent_all_ends_without_an_event():
    # Its copy is the run itself, and its source was ordered to stop.
    async def test(parts):
        parts.engines.facts = AnswerFacts(framed=False)
        caller, task, run = await begin(parts, events=EVENTS)
        finish_reruns(parts.engines)
        parts.leave(run.target)
        await task
        assert run.stopped and len(parts.engines.answers) == 2
        assert caller.finished and not caller.aborted
        assert caller.numbers == list(range(1, EVENTS + 1))

    play(test, "a", "b")


def test_run_that_has_sent_all_and_goes_on_where_it_was_stopped_is_whole():
    # Its source leaves, and was taken for one that closes what has not begun.
    async def test(parts):
        engines = parts.engines
        engines.facts = AnswerFacts(framed=False)
        caller, task, run = await begin(parts, events=EVENTS)
        finish_reruns(engines)

        def stop() -> MoveResult:
            run.end()
            engines.copies.add((f"{run.target}:80", "h-r1"))
            return STOPPED[1]

        engines.on_stop_order(stop)
        parts.leave(run.target)
        await task
        assert [a.target for a in engines.answers] == [run.target] * 2
        assert caller.finished and not caller.aborted
        assert caller.numbers == list(range(1, EVENTS + 1))

    play(test, "a", "b")


def test_empty_run_tells_no_end_where_an_order_to_stop_was_lost():
    # Its source may have ended by itself, amid the stream.
    async def test(parts):
        engines = parts.engines
        engines.facts = AnswerFacts(framed=False)
        caller, task, run = await begin(parts)

        def lose() -> MoveResult:
            run.cut()
            return LOST

        engines.on_stop_order(lose)
        parts.leave(run.target)
        fresh = await engines.wait_run(2)
        fresh.end()
        await task
        assert caller.aborted and not caller.finished
        assert caller.numbers == [1, 2]

    play(test, "a", "b")


async def start_answer(parts, path: Path):
    """Start an answer without a length, and relay a part of it."""
    parts.engines.facts = AnswerFacts(framed=False)
    if path.streams:
        return await begin(parts, path.value)
    caller, task = parts.start(make_request(path.value))
    run = await parts.engines.wait_run(1)
    run.make(0, "half of it")
    return caller, task, run


@pytest.mark.parametrize("vouched", (True, False))
@pytest.mark.parametrize("path", Path)
def test_end_at_an_entry_that_is_to_stop_needs_word_as_any_other(
    path, vouched
):
    # An entry in drain has little time, which is no reason to guess.
    async def test(parts):
        caller, task, run = await start_answer(parts, path)
        now = tell_time()
        parts.serving.departure.begin(now + 1.0, now + 4.0)
        if not vouched:
            parts.engines.mute.add(run.target)
        finish_reruns(parts.engines)
        run.end()
        await asyncio.wait((task,))
        assert caller.finished is vouched
        if not path.streams:
            assert isinstance(task.exception(), RequestError) is not vouched
            return
        assert caller.aborted is not vouched
        assert caller.numbers == [1, 2]

    play(test, "a")


@pytest.mark.parametrize("path", Path)
def test_answer_is_not_whole_where_its_entry_ends_before_the_word_comes(path):
    # The word may be on its way as the process ends: it is not known yet.
    async def test(parts):
        caller, task, run = await start_answer(parts, path)
        began, goes_on = parts.engines.hold_question()
        run.end()
        await began.wait()
        assert parts.serving.departure.end() == 1
        goes_on.set()
        await asyncio.wait((task,))
        assert not caller.finished
        assert caller.aborted is path.streams
        if not path.streams:
            assert isinstance(task.exception(), RequestError)

    play(test, "a")
