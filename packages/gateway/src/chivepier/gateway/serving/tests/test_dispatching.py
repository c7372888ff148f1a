"""Tests of sending requests: retries, and the errors callers get."""

import asyncio

import attrs
import pytest

from chivepier.gateway.limits import RequestedBackoff
from chivepier.gateway.serving import AnswerFacts
from chivepier.gateway.serving.dispatcher import START_URGENCY
from chivepier.gateway.serving.prompt import Prompt
from chivepier.gateway.serving.tests.parts import ENGINE
from chivepier.gateway.serving.tests.parts import fail
from chivepier.gateway.serving.tests.parts import finish
from chivepier.gateway.serving.tests.parts import make_request
from chivepier.gateway.serving.tests.parts import play
from chivepier.standins.loopclock import tell_time
from chivepier.types import ErrorKind
from chivepier.types import Ran
from chivepier.types import seconds_to_retry


def answer_all(parts, status: int = 200) -> None:
    """Make every target answer with an empty body."""
    for name in ("a", "b", "c"):
        parts.engines.failing[f"w-{name}"] = status


def test_answer_is_passed_through():
    async def test(parts):
        parts.engines.failing["w-a"] = 404
        caller = await parts.serve(make_request("/plain/x"))
        assert caller.status == 404 and caller.finished
        assert caller.headers == (("X-From", "engine"),)

    play(test, "a")


def test_refusal_without_a_length_is_handed_on_at_once():
    # The target has just asked not to be called, so it gives no word.
    async def test(parts):
        parts.engines.failing["w-a"] = 429
        parts.engines.facts = AnswerFacts(
            framed=False,
            implies_not_run=True,
            turned_away=True,
            backoff=RequestedBackoff(3.0),
        )
        caller = await parts.serve(make_request("/read/x"))
        assert caller.status == 429 and caller.finished
        assert parts.read_lines("end_examined") == []

    play(test, "a")


def test_request_that_may_run_once_is_not_sent_again_after_a_loss():
    # The connection breaks after the request was sent, so a retry could run it
    # twice. The caller gets an error which says that it may have run.
    async def test(parts):
        parts.engines.disconnecting = {"w-a", "w-b"}
        failure = await fail(parts, make_request("/plain/x"))
        assert failure.kind is ErrorKind.TARGET_FAILED
        assert failure.ran is Ran.UNKNOWN
        assert len(parts.engines.orders) == 1

    play(test, "a", "b")


def test_log_of_lost_targets_shows_that_a_request_was_retried():
    # A caller retries under a new id, so ids alone did not show that the same
    # request failed at several targets. The logged digest does.
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


def test_send_to_an_unreachable_target_takes_no_retry():
    async def test(parts):
        answer_all(parts)
        parts.engines.unreachable = {"w-a"}
        for _ in range(8):
            caller = await parts.serve(make_request("/plain/x"))
            assert caller.status == 200
        assert {name for name, _ in parts.engines.orders} == {"w-b"}

    play(test, "a", "b")


def test_address_of_another_instance_is_not_used_again():
    # Requests were still sent to an address that another instance had taken.
    async def test(parts):
        answer_all(parts)
        parts.engines.misaddressed = {"w-a"}
        for _ in range(8):
            caller = await parts.serve(make_request("/plain/x"))
            assert caller.status == 200
        sent = [name for name, _ in parts.engines.orders]
        assert sent.count("w-a") <= 1

    play(test, "a", "b")


def test_request_refused_by_all_targets_has_not_run_and_may_be_retried():
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


def test_retries_do_not_exceed_the_attempts_of_the_route():
    async def test(parts):
        answer_all(parts, 500)
        caller = await parts.serve(make_request("/read/x"))
        assert caller.status == 500
        assert len(parts.engines.orders) == 2

    play(test, "a", "b", "c")


def test_retries_stop_when_the_budget_is_exhausted():
    # Without a budget, retries for one failing target double the load of the
    # others.
    async def test(parts):
        answer_all(parts, 500)
        for _ in range(40):
            await parts.serve(make_request("/read/x"))
        sent = len(parts.engines.orders)
        assert 40 < sent <= 40 + 0.7 * (0.2 * 40 + 10)

    play(test, "a", "b", "c")


def test_request_past_its_deadline_is_refused_as_not_run():
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


def test_team_is_sent_and_classes_do_not_preempt():
    # With the urgency of their class, short generations preempted long ones,
    # which had to be prefilled again.
    async def test(parts):
        caller, task = parts.start(make_request("/llm/x"))
        answer = await parts.engines.wait_run(1)
        answer.make()
        await finish(task, answer)
        _, order = parts.engines.orders[0]
        assert (order.team, order.urgency) == ("t1", START_URGENCY)

    play(test, "a")


def test_requests_before_the_first_configuration_wait_for_it():
    # After a restart of all processes callers retried before the entry had
    # reached a voter, were refused and missed their latency objective.
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


def test_stopping_instance_refuses_a_long_generation():
    # An instance that was stopping accepted a stream that it could not finish.
    async def test(parts):
        parts.state.ends_at = tell_time() + 4.0
        prompt = Prompt(tokens=100, max_output=1000)
        failure = await fail(parts, make_request(prompt=prompt))
        assert failure.kind is ErrorKind.DRAINING
        assert failure.ran is Ran.NO
        assert seconds_to_retry(failure) == 0
        assert not parts.engines.orders

    play(test, "a")


def test_stopping_instance_serves_short_generations_and_plain_calls():
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


def test_duration_is_estimated_from_completed_generations():
    # Whether a generation fits into the remaining time is estimated from the
    # measured speed, not from the default one.
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


def test_duration_is_not_estimated_from_short_answers():
    # Answers of three events arrive in one piece and suggest too high a speed:
    # 2,200 tokens were estimated to take 3 s and accepted with 3.7 s left.
    async def test(parts):
        caller, task = parts.start(make_request())
        run = await parts.engines.wait_run(1)
        await finish(task, run, 3)
        parts.state.ends_at = tell_time() + 3.7
        prompt = Prompt(tokens=3_400, max_output=2_200)
        failure = await fail(parts, make_request(prompt=prompt))
        assert failure.kind is ErrorKind.DRAINING

    play(test, "a")


@pytest.mark.parametrize("paces", (True, False))
def test_target_that_fails_generations_is_reported_to_others(paces):
    """Guards against one that fails at once, looks idle and gets the most."""

    async def test(parts):
        parts.engines.full = {"b"}
        parts.engines.failing["a"] = 500
        if paces:
            parts.report_pace("a", 1.0)
        assert (await parts.serve(make_request())).status == 500
        counted = parts.loads.count_avoiding("a", tell_time())
        assert counted == (1 if paces else 0)

    play(test, "a", "b", engine=attrs.evolve(ENGINE, reserve_seconds=2.0))
