"""Tests of reserving room before a request is sent."""

import asyncio

import attrs
import pytest

from chivepier.gateway.messages import QueueRecord
from chivepier.gateway.serving.prompt import Prompt
from chivepier.gateway.serving.tests.parts import ENGINE
from chivepier.gateway.serving.tests.parts import make_request
from chivepier.gateway.serving.tests.parts import play
from chivepier.gateway.serving.tests.parts import wait_until
from chivepier.standins.loopclock import tell_time
from chivepier.types import ErrorKind
from chivepier.types import Ran
from chivepier.types import RequestError

RESERVING = attrs.evolve(ENGINE, reserve_seconds=2.0)


async def serve_one(parts, **changes):
    """Serve a stream of one event; return its target and send order."""
    caller, task = parts.start(make_request(**changes))
    answer = await parts.engines.wait_run(1)
    answer.make()
    answer.end()
    await task
    assert caller.finished
    return parts.engines.orders[-1]


def test_request_goes_where_room_was_reserved():
    # Load reports are delayed, so without reservations requests queue at a
    # full target while another one has room.
    async def test(parts):
        parts.engines.full = {"a", "b"}
        name, order = await serve_one(parts)
        assert (name, order.reservation) == ("c", "hold-c")
        assert parts.engines.reserved == [("c", 100 + 256)]

    play(test, "a", "b", "c", engine=RESERVING)


def test_target_that_can_not_be_asked_is_passed_over():
    async def test(parts):
        parts.engines.unreachable = {"a"}
        name, order = await serve_one(parts)
        assert (name, order.reservation) == ("b", "hold-b")

    play(test, "a", "b", engine=RESERVING)


def test_without_room_anywhere_the_request_waits_here():
    # Requests in the queue of a target are lost if it leaves.
    async def test(parts):
        parts.engines.full = {"a", "b"}
        caller, task = parts.start(make_request())
        await wait_until(lambda: parts.queues.count_ahead("llm", 9, 0.0) == 1)
        assert not parts.engines.orders
        parts.engines.full = {"a"}
        answer = await parts.engines.wait_run(1)
        assert answer.target == "b"
        assert parts.queues.count_ahead("llm", 9, 0.0) == 0
        answer.make()
        answer.end()
        await task

    play(test, "a", "b", engine=RESERVING)


def test_request_that_no_target_takes_is_refused_in_time():
    # Callers give up after four objectives. A rejection after three, which
    # says that nothing ran and gives a retry delay, lets them retry later.
    async def test(parts):
        parts.engines.full = {"a", "b"}
        arrived = make_request().arrived - 2.95
        caller, task = parts.start(make_request(arrived=arrived))
        with pytest.raises(RequestError) as caught:
            await task
        failure = caught.value.failure
        assert failure.kind is ErrorKind.NO_TARGET
        assert failure.ran is Ran.NO and failure.retry_after
        assert not parts.engines.orders

    play(test, "a", "b", engine=RESERVING)


def test_request_whose_time_runs_out_is_refused_before():
    # A retrying caller has little time left. A rejection after its deadline
    # would not reach it any more.
    async def test(parts):
        parts.engines.full = {"a", "b"}
        deadline = make_request().arrived + 0.3
        caller, task = parts.start(make_request(deadline=deadline))
        with pytest.raises(RequestError) as caught:
            await task
        assert caught.value.failure.ran is Ran.NO
        assert parts.dispatcher.clock.monotonic() < deadline
        assert not parts.engines.orders

    play(test, "a", "b", engine=RESERVING)


def test_late_request_lets_requests_in_time_go_first():
    # If late requests are served in order of arrival, all later ones become
    # late as well.
    await_turn(waited=1.5)


def test_request_whose_prompt_is_read_too_late_lets_others_go_first():
    # Requests that will miss their objective anyway must not delay new ones.
    await_turn(waited=0.7, reading=0.4)


def await_turn(waited: float, reading: float = 0.0) -> None:
    """Check that a late request leaves the last free room to another one.

    :param waited: seconds since its arrival; its objective is one second
    :param reading: seconds to prefill its prompt
    """

    async def test(parts):
        parts.dispatcher.balancer.prefill_estimator.record("llm", 100, reading)
        parts.loads.adjust_own("a", tokens=100_000 - 400)
        parts.report_waiting("other", "llm", rank=3, waiting=1)
        arrived = make_request().arrived - waited
        caller, task = parts.start(make_request(arrived=arrived))
        await wait_until(lambda: parts.queues.list_own())
        await asyncio.sleep(0.25)
        assert not parts.engines.orders
        parts.report_waiting("other", "llm", rank=3, waiting=0)
        answer = await parts.engines.wait_run(1)
        answer.make()
        answer.end()
        await task

    play(test, "a", engine=RESERVING)


def test_team_above_its_share_leaves_room_to_others_of_its_class():
    """One team's rush passed before the steady requests of the others."""

    async def test(parts):
        parts.loads.adjust_own("a", tokens=100_000 - 400)
        for team, held in (("t1", 90_000), ("t2", 5_000)):
            record = QueueRecord("other", "llm", 3, 0, 0, 9, held, team)
            parts.queues.put(record, tell_time())
        parts.report_waiting("other", "llm", rank=3, waiting=1)
        caller, task = parts.start(make_request())
        await wait_until(lambda: parts.queues.count_ahead("llm", 4, 0.0) == 2)
        await asyncio.sleep(0.6)
        assert not parts.engines.orders
        parts.report_waiting("other", "llm", rank=3, waiting=0)
        answer = await parts.engines.wait_run(1)
        answer.make()
        answer.end()
        await task

    play(test, "a", engine=RESERVING)


def test_generations_of_a_leaving_target_go_before_new_ones():
    # Otherwise new requests take the room that generations of a leaving target
    # need within its notice period, and those are cut off.
    async def test(parts):
        parts.loads.adjust_own("a", tokens=100_000 - 400)
        parts.loads.adjust_own("b", runs=1, tokens=300)
        parts.leave("b")
        caller, task = parts.start(make_request())
        await wait_until(lambda: parts.queues.list_own())
        assert not parts.engines.orders
        parts.loads.adjust_own("b", runs=-1, tokens=-300)
        answer = await parts.engines.wait_run(1)
        answer.make()
        answer.end()
        await task

    play(test, "a", "b", engine=RESERVING)


def test_targets_that_can_not_reserve_are_not_asked():
    async def test(parts):
        _, order = await serve_one(parts)
        assert order.reservation is None and not parts.engines.reserved

    play(test, "a", "b")


def test_prompts_that_come_at_once_are_not_all_read_at_one_target():
    # Otherwise the only target with room gets all prompts and prefills them
    # one after the other.
    async def test(parts):
        parts.dispatcher.balancer.prefill_estimator.record("llm", 1_000, 2.0)
        started = [parts.start(make_request(id=f"r{n}")) for n in range(5)]
        await wait_until(lambda: parts.queues.count_ahead("llm", 9, 0.0) == 3)
        assert len(parts.engines.answers) == 2
        for count in range(1, 6):
            answer = await parts.engines.wait_run(count)
            answer.make()
            answer.end()
        await asyncio.gather(*(task for _, task in started))
        assert all(caller.finished for caller, _ in started)

    play(test, "a", engine=RESERVING)


@pytest.mark.parametrize(
    ("max_output", "reading", "waits"),
    [(900, 0.1, True), (900, 0.7, False), (20, 0.1, False)],
)
def test_stream_waits_for_a_fast_target_while_it_has_time(
    max_output, reading, waits
):
    # Long streams pause for too long at slow targets, but one that waits for
    # a fast one for too long has its first event late instead.
    async def test(parts):
        parts.engines.full = {"fast"}
        parts.report_pace("fast", 0.7, 0.7 * 2.5)
        parts.report_pace("slow", 1.7, 1.7 * 2.5)
        parts.dispatcher.balancer.prefill_estimator.record("llm", 100, reading)
        prompt = Prompt(tokens=100, max_output=max_output)
        name, _ = await serve_one(parts, prompt=prompt)
        (line,) = parts.read_lines("placed")
        assert name == "slow" and (line["ms"] >= 500) is waits
        expected = (
            (1.7, 272, "unfit") if max_output > 20 else (1.7, None, None)
        )
        assert (line["pace"], line["pause_ms"], line["fit"]) == expected
        counted = b'streams_by_fit_total{fit="unfit"} 1.0'
        assert (counted in parts.metrics.render()) is (max_output > 20)

    play(test, "fast", "slow", engine=RESERVING)


def test_samples_of_a_slow_target_do_not_make_fast_ones_look_slow():
    # The estimates of a service followed whichever targets answered last.
    async def test(parts):
        parts.report_pace("a", 2.0)
        plan, runs = parts.planner.plan(make_request()), parts.dispatcher.runs
        run = runs.start(plan, parts.table.get("a"))
        await asyncio.sleep(1.0)
        runs.note_first_event(run)
        runs.untrack(run)
        estimator = parts.dispatcher.balancer.prefill_estimator
        assert estimator.estimate("llm", 100) == pytest.approx(0.5)

    play(test, "a")
