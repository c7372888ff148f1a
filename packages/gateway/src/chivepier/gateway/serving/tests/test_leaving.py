"""Tests of targets that announce in an answer that they are leaving."""

import asyncio

import attrs

from chivepier.gateway.serving import AnswerFacts
from chivepier.gateway.serving.tests.fakeengines import make_target
from chivepier.gateway.serving.tests.parts import begin
from chivepier.gateway.serving.tests.parts import ENGINE
from chivepier.gateway.serving.tests.parts import fail
from chivepier.gateway.serving.tests.parts import finish
from chivepier.gateway.serving.tests.parts import make_request
from chivepier.gateway.serving.tests.parts import play
from chivepier.gateway.serving.tests.test_backoffs import answer_all
from chivepier.gateway.serving.tests.test_backoffs import count_sends
from chivepier.types import ErrorKind
from chivepier.types import Ran

RESERVING = attrs.evolve(ENGINE, reserve_seconds=2.0)
LEAVES = AnswerFacts(leaving=True)


def test_target_with_a_leaving_notice_gets_no_new_requests():
    async def test(parts):
        answer_all(parts)
        parts.engines.facts = LEAVES
        await parts.serve(make_request("/plain/x"))
        left = parts.engines.orders[0][0]
        parts.engines.facts = AnswerFacts()
        for _ in range(20):
            await parts.serve(make_request("/plain/x"))
        assert count_sends(parts, left) == 1

    play(test, "a", "b")


def test_ready_announcement_does_not_revoke_a_leaving_notice():
    async def test(parts):
        answer_all(parts)
        parts.leaving_targets.record(make_target("w-a", "web"), 0.0)
        for number in (1, 2, 3):
            again = make_target("w-a", "web")
            again.number = number
            parts.table.put(again)
        for _ in range(10):
            await parts.serve(make_request("/plain/x"))
        assert count_sends(parts, "w-a") == 0

    play(test, "a", "b")


def test_leaving_notice_in_a_refusal_counts():
    async def test(parts):
        parts.engines.refuse.add("w-a")
        parts.engines.refusal = AnswerFacts(not_run=True, leaving=True)
        answer_all(parts)
        for _ in range(10):
            await parts.serve(make_request("/plain/x"))
        assert count_sends(parts, "w-a") == 1

    play(test, "a", "b")


def test_leaving_notice_in_a_refused_reservation_counts():
    async def test(parts):
        parts.engines.full.add("a")
        parts.engines.full_facts = AnswerFacts(limit=None, leaving=True)
        for number in range(1, 7):
            _, task = parts.start(make_request("/llm/x"))
            run = await parts.engines.wait_run(number)
            await finish(task, run, 1)
        assert parts.engines.reserve_attempts.count("a") == 1

    play(test, "a", "b", engine=RESERVING)


def test_leaving_notice_moves_running_generations():
    async def test(parts):
        caller, task, run = await begin(parts)
        parts.leaving_targets.record(make_target(run.target), 0.0)
        again = await parts.engines.wait_run(2)
        assert again.target != run.target
        await finish(task, again, 2)
        assert caller.finished

    play(test, "a", "b")


def test_leaving_notice_in_the_head_of_a_stream_moves_it():
    async def test(parts):
        parts.engines.facts = LEAVES
        caller, task = parts.start(make_request("/llm/x"))
        run = await parts.engines.wait_run(1)
        parts.engines.facts = AnswerFacts()
        run.make(2)
        again = await parts.engines.wait_run(2)
        assert again.target != run.target
        await finish(task, again, 2)
        assert caller.finished

    play(test, "a", "b")


def test_send_waiting_for_a_connection_avoids_a_leaving_target():
    async def test(parts):
        answer_all(parts)
        stands = parts.engines.hold_connection("w-a")
        calls = [parts.start(make_request("/plain/x"))[1] for _ in range(6)]
        await asyncio.sleep(0.05)
        parts.leaving_targets.record(make_target("w-a", "web"), 0.0)
        stands.set()
        await asyncio.gather(*calls)
        assert count_sends(parts, "w-a") == 0

    play(test, "a", "b")


def test_callers_are_told_at_once_when_all_targets_leave():
    async def test(parts):
        for name in ("w-a", "w-b"):
            parts.leaving_targets.record(make_target(name, "web"), 0.0)
        async with asyncio.timeout(0.5):
            failure = await fail(parts, make_request("/plain/x"))
        assert failure.kind is ErrorKind.NO_TARGET
        assert failure.ran is Ran.NO and failure.retry_after is not None

    play(test, "a", "b")


def test_leaving_notice_of_an_earlier_incarnation_is_ignored():
    async def test(parts):
        answer_all(parts)
        old = make_target("w-a", "web")
        parts.restart("w-a", 5)
        new = parts.table.get("w-a")
        new.service = "web"
        parts.leaving_targets.record(old, 0.0)
        await parts.serve(make_request("/plain/x"))
        assert count_sends(parts, "w-a") == 1
        assert not parts.table.is_leaving("w-a")

    play(test, "a")


def test_leaving_notice_of_an_unknown_target_counts():
    async def test(parts):
        parts.leaving_targets.record(make_target("w-z", "web"), 0.0)
        parts.table.put(make_target("w-z", "web"))
        assert parts.table.is_leaving("w-z")

    play(test)
