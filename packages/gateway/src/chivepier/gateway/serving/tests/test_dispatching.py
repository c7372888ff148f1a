"""Tests of sending requests: what may run again, and what is said."""

import asyncio

import pytest

from chivepier.gateway.serving.dispatcher import START_URGENCY
from chivepier.gateway.serving.prompt import Prompt
from chivepier.gateway.serving.tests.parts import fail
from chivepier.gateway.serving.tests.parts import finish
from chivepier.gateway.serving.tests.parts import make_request
from chivepier.gateway.serving.tests.parts import play
from chivepier.standins.loopclock import tell_time
from chivepier.types import ErrorKind
from chivepier.types import Ran
from chivepier.types import seconds_to_retry


def answer_all(parts, status: int = 200) -> None:
    """Let every target answer with an empty body."""
    for name in ("a", "b", "c"):
        parts.engines.failing[f"w-{name}"] = status


def test_answer_is_passed_through():
    async def test(parts):
        parts.engines.failing["w-a"] = 404
        caller = await parts.serve(make_request("/plain/x"))
        assert caller.status == 404 and caller.finished
        assert caller.headers == (("X-From", "engine"),)

    play(test, "a")


def test_request_that_may_run_once_is_not_sent_again_after_a_loss():
    # The caller sees 502 and knows that it may have run. The connection
    # breaks after the request was sent; a second target would run it again.
    async def test(parts):
        parts.engines.disconnecting = {"w-a", "w-b"}
        failure = await fail(parts, make_request("/plain/x"))
        assert failure.kind is ErrorKind.TARGET_FAILED
        assert failure.ran is Ran.UNKNOWN
        assert len(parts.engines.orders) == 1

    play(test, "a", "b")


def test_lines_of_lost_targets_show_that_a_request_came_again():
    # Target after target broke off, and each line named another request: a
    # caller that asks again does so under a new id. Path, team and body stay.
    async def test(parts):
        parts.engines.disconnecting = {"w-a"}
        for identity, body in (("r1", b"x"), ("r2", b"x"), ("r3", b"y")):
            request = make_request("/plain/x", id=identity, body=body)
            await fail(parts, request)
        lines = parts.read_lines("target_lost")
        assert [line["id"] for line in lines] == ["r1", "r2", "r3"]
        first, again, other = (line["digest"] for line in lines)
        assert first == again != other
        assert lines[0]["begun_ms"] is None and not lines[0]["leaving"]

    play(test, "a")


def test_request_that_may_run_once_is_sent_again_when_it_did_not_run():
    async def test(parts):
        answer_all(parts)
        parts.engines.refuse = {"w-a", "w-b"}
        caller = await parts.serve(make_request("/plain/x"))
        assert caller.status == 200
        assert parts.engines.orders[-1][0] == "w-c"

    play(test, "a", "b", "c")


def test_target_that_can_not_be_reached_costs_nothing_but_time():
    async def test(parts):
        answer_all(parts)
        parts.engines.unreachable = {"w-a"}
        for _ in range(8):
            caller = await parts.serve(make_request("/plain/x"))
            assert caller.status == 200
        assert {name for name, _ in parts.engines.orders} == {"w-b"}

    play(test, "a", "b")


def test_address_of_another_instance_is_not_used_again():
    # Requests went on to an address that another instance had taken over.
    async def test(parts):
        answer_all(parts)
        parts.engines.misaddressed = {"w-a"}
        for _ in range(8):
            caller = await parts.serve(make_request("/plain/x"))
            assert caller.status == 200
        sent = [name for name, _ in parts.engines.orders]
        assert sent.count("w-a") <= 1

    play(test, "a", "b")


def test_refused_by_all_is_told_as_not_run_with_when_to_come_back():
    async def test(parts):
        parts.engines.refuse = {"w-a", "w-b"}
        failure = await fail(parts, make_request("/plain/x"))
        assert failure.kind is ErrorKind.NO_TARGET
        assert failure.ran is Ran.NO
        assert failure.retry_after.total_seconds() > 0

    play(test, "a", "b")


def test_repeatable_request_is_sent_to_another_target_after_a_failure():
    async def test(parts):
        parts.engines.disconnecting = {"w-a"}
        parts.engines.failing = {"w-b": 200}
        for _ in range(4):
            caller = await parts.serve(make_request("/read/x"))
            assert caller.status == 200

    play(test, "a", "b")


def test_repeatable_request_runs_on_no_more_targets_than_allowed():
    async def test(parts):
        answer_all(parts, 500)
        caller = await parts.serve(make_request("/read/x"))
        assert caller.status == 500
        assert len(parts.engines.orders) == 2

    play(test, "a", "b", "c")


def test_repeats_stop_when_the_budget_is_used_up():
    # Repeats of what a broken target fails double the load of the others.
    async def test(parts):
        answer_all(parts, 500)
        for _ in range(40):
            await parts.serve(make_request("/read/x"))
        sent = len(parts.engines.orders)
        assert 40 < sent <= 40 + 0.7 * (0.2 * 40 + 10)

    play(test, "a", "b", "c")


def test_hopeless_request_is_refused_at_once_as_not_run():
    async def test(parts):
        now = tell_time()
        failure = await fail(parts, make_request("/plain/x", deadline=now))
        assert failure.ran is Ran.NO
        assert not parts.engines.orders

    play(test, "a")


@pytest.mark.parametrize(
    "changes, kind",
    [
        ({"key": "other"}, ErrorKind.UNAUTHORIZED),
        ({"key": None}, ErrorKind.UNAUTHORIZED),
        ({"host": "other.example"}, ErrorKind.NOT_FOUND),
        ({"path": "/plainx"}, ErrorKind.NOT_FOUND),
    ],
)
def test_what_the_configuration_does_not_allow_is_refused(changes, kind):
    async def test(parts):
        wanted = {"path": "/plain/x", **changes}
        failure = await fail(parts, make_request(**wanted))
        assert failure.kind is kind
        assert not parts.engines.orders

    play(test, "a")


def test_team_goes_with_the_request_and_classes_do_not_preempt():
    # By class, short answers preempted long ones, which were read in again.
    async def test(parts):
        caller, task = parts.start(make_request("/llm/x"))
        answer = await parts.engines.wait_run(1)
        answer.make()
        await finish(task, answer)
        _, order = parts.engines.orders[0]
        assert (order.team, order.urgency) == ("t1", START_URGENCY)

    play(test, "a")


def test_requests_before_the_first_configuration_wait_for_it():
    # All processes were killed at once; callers came back before the entry
    # had heard a voter, were told to come again, and missed their objective.
    async def test(parts):
        index, parts.state.index = parts.state.index, None
        answer_all(parts)
        caller, task = parts.start(make_request("/plain/x"))
        while not parts.serving.active:
            await parts.dispatcher.clock.sleep(0)
        parts.state.adopt(index)
        await task
        assert caller.status == 200

    play(test, "a")


def test_long_generation_is_turned_away_by_an_instance_that_ends():
    # A stream was begun by an instance that ended before it could.
    async def test(parts):
        parts.state.ends_at = tell_time() + 4.0
        prompt = Prompt(tokens=100, max_output=1000)
        failure = await fail(parts, make_request(prompt=prompt))
        assert failure.kind is ErrorKind.DRAINING
        assert failure.ran is Ran.NO
        assert seconds_to_retry(failure) == 0
        assert not parts.engines.orders

    play(test, "a")


def test_short_generation_and_plain_call_are_served_until_an_instance_ends():
    async def test(parts):
        parts.state.ends_at = tell_time() + 4.0
        answer_all(parts)
        assert (await parts.serve(make_request("/plain/x"))).status == 200
        prompt = Prompt(tokens=100, max_output=12)
        caller, task = parts.start(make_request(prompt=prompt))
        run = await parts.engines.wait_run(1)
        await finish(task, run, 3)
        assert caller.finished

    play(test, "a")


def test_generations_that_ended_tell_how_long_one_takes():
    # Engines of another speed than the usual one: what may still be begun
    # follows what was seen there.
    async def test(parts):
        caller, task = parts.start(make_request())
        run = await parts.engines.wait_run(1)
        run.make(100)
        await asyncio.sleep(0.1)
        await finish(task, run, 100)
        prompt = Prompt(tokens=100, max_output=1000)
        parts.state.ends_at = tell_time() + 4.0
        caller, task = parts.start(make_request(prompt=prompt))
        run = await parts.engines.wait_run(2)
        await finish(task, run, 1)
        assert caller.finished

    play(test, "a")


def test_short_answers_do_not_tell_how_long_a_generation_takes():
    # A stopped instance began a generation of 2,200 tokens with 3.7 s left:
    # by the answers of three events, which come in one piece, it took 3 s.
    async def test(parts):
        caller, task = parts.start(make_request())
        run = await parts.engines.wait_run(1)
        await finish(task, run, 3)
        parts.state.ends_at = tell_time() + 3.7
        prompt = Prompt(tokens=3_400, max_output=2_200)
        failure = await fail(parts, make_request(prompt=prompt))
        assert failure.kind is ErrorKind.DRAINING

    play(test, "a")
