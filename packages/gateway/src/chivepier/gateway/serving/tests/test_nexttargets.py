"""Tests of targets that are asked one after the other to go on."""

import asyncio

import attrs
import pytest

from chivepier.gateway.serving import ConnectionLostError
from chivepier.gateway.serving.tests.parts import begin
from chivepier.gateway.serving.tests.parts import play
from chivepier.gateway.serving.tests.parts import RESUMABLE
from chivepier.standins.loopclock import tell_time

ATTEMPTS = 4
# Seconds without an event after which callers give up a stream.
CALLER_SECONDS = 2.0


def fail_status(engines, name: str) -> None:
    """Have a target answer with an error."""
    engines.failing[name] = 500


def hang(engines, name: str) -> None:
    """Have a target accept requests and answer nothing."""
    send = engines.send

    async def send_late(target, *args):
        if target.instance == name:
            await asyncio.sleep(60.0)
        return await send(target, *args)

    engines.send = send_late


# How the next target fails.
WAYS = {
    "error": fail_status,
    "refusal": lambda engines, name: engines.refuse.add(name),
    "lost": lambda engines, name: engines.disconnecting.add(name),
    "ended": lambda engines, name: engines.unreachable.add(name),
    "misaddressed": lambda engines, name: engines.misaddressed.add(name),
}


def allow_repeats(parts, attempts: int = ATTEMPTS, requests: int = 100):
    """Let streams run so many times, as far as the budget has repeats."""
    routes = (attrs.evolve(RESUMABLE, attempts=attempts),)
    parts.configure(routes=routes, version=2)
    for _ in range(requests):
        parts.dispatcher.budget.note_request("llm", tell_time())


def spoil_next(parts, way, count: int) -> list[str]:
    """Have the next targets that are asked fail; return their names."""
    balancer, spoiled = parts.dispatcher.balancer, []
    choose = balancer.choose

    def choose_and_spoil(*args):
        target = choose(*args)
        if target is not None and len(spoiled) < count:
            way(parts.engines, target.instance)
            spoiled.append(target.instance)
        return target

    balancer.choose = choose_and_spoil
    return spoiled


@pytest.mark.parametrize("count", (1, 2))
@pytest.mark.parametrize("way", WAYS)
def test_target_that_fails_costs_one_attempt_and_not_the_stream(way, count):
    # The stream was broken off though a sound target was left.
    async def test(parts):
        allow_repeats(parts)
        caller, task, run = await begin(parts, "/resume/x")
        spoiled = spoil_next(parts, WAYS[way], count)
        run.cut()
        fresh = await parts.engines.wait_run(2)
        fresh.make(1)
        fresh.end()
        await task
        assert caller.numbers == [1, 2, 3] and caller.finished
        assert len(spoiled) == len(set(spoiled)) == count

    play(test, "a", "b", "c", "d")


@pytest.mark.parametrize("attempts, sends", ((2, 2), (3, 3), (4, 4)))
def test_errors_end_with_the_attempts_of_the_route(attempts, sends):
    async def test(parts):
        allow_repeats(parts, attempts)
        caller, task, run = await begin(parts, "/resume/x")
        for name in ("a", "b", "c", "d", "e"):
            fail_status(parts.engines, name)
        run.cut()
        await task
        assert caller.numbers == [1, 2]
        assert caller.aborted and not caller.finished
        assert len(parts.engines.orders) == sends

    play(test, "a", "b", "c", "d", "e")


@pytest.mark.parametrize("way", ("refusal", "error"))
def test_targets_are_asked_within_the_budget_alone(way):
    async def test(parts):
        allow_repeats(parts, attempts=10, requests=0)
        caller, task, run = await begin(parts, "/resume/x")
        left = 2
        budget = parts.dispatcher.budget

        def take(*args):
            nonlocal left
            left -= 1
            return left >= 0

        budget.take = take
        spoil_next(parts, WAYS[way], 10)
        run.cut()
        await task
        assert caller.aborted
        assert len(parts.engines.orders) == 3

    play(test, "a", "b", "c", "d", "e")


def test_repeat_that_was_not_sent_is_not_taken_twice():
    # A target that could not be connected to used up a repeat.
    async def test(parts):
        allow_repeats(parts)
        caller, task, run = await begin(parts, "/resume/x")
        taken = []
        take = parts.dispatcher.budget.take
        parts.dispatcher.budget.take = lambda *args: (
            taken.append(args) or take(*args)
        )
        spoil_next(parts, WAYS["ended"], 2)
        run.cut()
        fresh = await parts.engines.wait_run(2)
        fresh.end()
        await task
        assert caller.finished and len(taken) == 1

    play(test, "a", "b", "c", "d")


def test_times_of_targets_that_hang_do_not_add_up():
    # Its caller would give up the stream while one after the other hangs.
    async def test(parts):
        allow_repeats(parts, attempts=10)
        caller, task, run = await begin(parts, "/resume/x")
        for name in ("a", "b", "c", "d", "e"):
            hang(parts.engines, name)
        began = asyncio.get_running_loop().time()
        run.cut()
        await task
        assert caller.aborted
        assert asyncio.get_running_loop().time() - began <= CALLER_SECONDS

    play(test, "a", "b", "c", "d", "e")


def test_answer_after_an_error_is_not_waited_for_as_long_as_the_first():
    # A second target had the whole time anew: 3.2 s without an event.
    async def test(parts):
        allow_repeats(parts, attempts=10)
        caller, task, run = await begin(parts, "/resume/x")
        send, count = parts.engines.send, len(parts.engines.orders)

        async def fail_late(target, *args):
            if len(parts.engines.orders) > count:
                await asyncio.sleep(60.0)
            await asyncio.sleep(0.9)
            parts.engines.failing[target.instance] = 500
            return await send(target, *args)

        parts.engines.send = fail_late
        began = asyncio.get_running_loop().time()
        run.cut()
        await task
        assert caller.aborted
        assert asyncio.get_running_loop().time() - began <= CALLER_SECONDS

    play(test, "a", "b", "c", "d", "e")


def test_rerun_waits_for_the_verdict_on_a_target_that_it_lost():
    # One stream ended one target after the other.
    async def test(parts):
        allow_repeats(parts, attempts=8)
        caller, task, run = await begin(parts, "/resume/x")
        engines = parts.engines

        async def end(target, request, order, contact):
            contact.begin()
            engines.orders.append((target.instance, order))
            engines.ended.add(target.instance)
            await asyncio.sleep(0.002)
            raise ConnectionLostError("reset")

        engines.send = end
        engines.ended.add(run.target)
        run.cut()
        await task
        assert caller.aborted
        assert len(engines.orders) <= 3

    play(test, *"abcdefgh")


def test_full_targets_do_not_take_the_repeats_of_all_others():
    # One break asked 59 of 60 targets, and took a repeat for each.
    async def test(parts):
        allow_repeats(parts)
        caller, task, run = await begin(parts, "/resume/x")
        parts.engines.refuse |= {f"t{number}" for number in range(20)}
        run.cut()
        await task
        assert caller.aborted
        assert len(parts.engines.orders) <= 1 + ATTEMPTS + 2

    play(test, *(f"t{number}" for number in range(20)))


def test_stream_that_may_run_once_is_sent_to_no_other_target():
    async def test(parts):
        caller, task, run = await begin(parts)
        run.make(0, "upstream trouble\n\n")
        run.end()
        await task
        assert caller.numbers == [1, 2] and caller.aborted
        assert len(parts.engines.orders) == 1

    play(test, "a", "b", "c")
