"""Tests of backoffs that targets request from an entry."""

import asyncio

import attrs
import pytest

from chivepier.gateway.config import Service
from chivepier.gateway.limits import NoBackoff
from chivepier.gateway.limits import RequestedBackoff
from chivepier.gateway.serving import AnswerFacts
from chivepier.gateway.serving import MoveOutcome
from chivepier.gateway.serving.tests.fakeengines import make_target
from chivepier.gateway.serving.tests.parts import begin
from chivepier.gateway.serving.tests.parts import ENGINE
from chivepier.gateway.serving.tests.parts import fail
from chivepier.gateway.serving.tests.parts import finish
from chivepier.gateway.serving.tests.parts import make_request
from chivepier.gateway.serving.tests.parts import Parts
from chivepier.gateway.serving.tests.parts import play
from chivepier.gateway.serving.tests.parts import wait_until
from chivepier.standins.loopclock import tell_time
from chivepier.types import ErrorKind
from chivepier.types import Ran

RESERVING = attrs.evolve(ENGINE, reserve_seconds=2.0)
REFUSAL = AnswerFacts(not_run=True, backoff=RequestedBackoff(3.0))


def refuse_with_backoff(
    parts: Parts, *names: str, seconds: float = 3.0
) -> None:
    """Make targets refuse all requests and request a backoff."""
    parts.engines.refuse |= set(names)
    parts.engines.refusal = attrs.evolve(
        REFUSAL, backoff=RequestedBackoff(seconds)
    )


def record_backoff(parts: Parts, *names: str, seconds: float = 3.0) -> None:
    """Record that targets have requested a backoff."""
    for name in names:
        parts.backoffs.add(name, 0, seconds, tell_time())


def count_sends(parts: Parts, name: str) -> int:
    """Count the requests that were sent to a target."""
    return sum(target == name for target, _ in parts.engines.orders)


def answer_all(parts: Parts) -> None:
    """Make targets answer each call at once."""
    send = parts.engines.send

    async def send_and_end(*args):
        answer = await send(*args)
        if answer.status == 200:
            answer.end()
        return answer

    parts.engines.send = send_and_end


def test_target_at_rest_is_sent_no_other_request():
    async def test(parts):
        answer_all(parts)
        refuse_with_backoff(parts, "w-a")
        for _ in range(40):
            await parts.serve(make_request("/plain/x"))
        assert count_sends(parts, "w-a") == 1
        assert parts.read_lines("target_not_sent") == []
        (line,) = parts.read_lines("rest_asked")
        assert (line["target"], line["seconds"]) == ("w-a", 3.0)

    play(test, "a", "b")


def test_rest_that_is_asked_while_a_send_waits_for_its_connection_is_kept():
    # Backoffs were last checked before the connection was established, so
    # requests went to a target that had requested a backoff meanwhile.
    async def test(parts):
        answer_all(parts)
        stands = parts.engines.hold_connection("w-a")
        calls = [parts.start(make_request("/plain/x"))[1] for _ in range(6)]
        await asyncio.sleep(0.05)
        record_backoff(parts, "w-a")
        stands.set()
        await asyncio.gather(*calls)
        assert count_sends(parts, "w-a") == 0
        assert count_sends(parts, "w-b") == 6

    play(test, "a", "b")


def test_request_is_refused_at_once_when_all_targets_are_at_rest():
    async def test(parts):
        record_backoff(parts, "w-a", seconds=3.0)
        record_backoff(parts, "w-b", seconds=2.0)
        began = tell_time()
        failures = [
            await fail(parts, make_request("/plain/x")) for _ in range(20)
        ]
        assert tell_time() - began < 1.0
        backs = [f.retry_after.total_seconds() for f in failures]
        assert all(1.0 < back <= 3.3 for back in backs)
        assert len(set(backs)) > 10
        assert {f.kind for f in failures} == {ErrorKind.OVERLOADED}
        assert {f.ran for f in failures} == {Ran.NO}
        assert parts.engines.orders == []
        line = parts.read_lines("all_at_rest")[0]
        assert 1500 < line["first_ms"] <= 2300

    play(test, "a", "b")


def test_refusals_of_all_targets_end_a_request_at_once():
    # The request was sent to each target three times and used up retries.
    async def test(parts):
        refuse_with_backoff(parts, "w-a", "w-b")
        failure = await fail(parts, make_request("/plain/x"))
        assert failure.kind is ErrorKind.OVERLOADED
        assert len(parts.engines.orders) == 2
        for _ in range(30):
            await fail(parts, make_request("/plain/x"))
        assert len(parts.engines.orders) == 2

    play(test, "a", "b")


def silence(parts: Parts, *names: str) -> None:
    """Let the announcements of targets be missing, and all others new."""
    for target in parts.table:
        age = 60.0 if target.instance in names else 0.0
        target.heard = tell_time() - age


def test_silent_target_is_used_when_all_others_are_at_rest():
    # Guards against refusals where only announcements of a living target are
    # late, as those of one voter's targets are while it stands still.
    async def test(parts):
        answer_all(parts)
        record_backoff(parts, "w-a")
        silence(parts, "w-b")
        for _ in range(5):
            await parts.serve(make_request("/plain/x"))
        assert count_sends(parts, "w-b") == 5
        assert count_sends(parts, "w-a") == 0

    play(test, "a", "b")


def test_request_is_refused_when_silent_targets_are_unreachable():
    # Guards against refusals that name no time, and against requests that
    # wait, where only the targets at rest will be there.
    async def test(parts):
        record_backoff(parts, "w-a")
        silence(parts, "w-b")
        parts.engines.unreachable.add("w-b")
        began = tell_time()
        failures = [
            await fail(parts, make_request("/plain/x")) for _ in range(5)
        ]
        assert tell_time() - began < 1.0
        assert {f.kind for f in failures} == {ErrorKind.OVERLOADED}
        backs = [f.retry_after.total_seconds() for f in failures]
        assert all(2.9 < back <= 5.1 for back in backs)
        assert count_sends(parts, "w-a") == 0

    play(test, "a", "b")


def test_target_that_answers_is_not_silent():
    # Guards against targets that are left out, and others that get their
    # share, while only announcements are late.
    async def test(parts):
        answer_all(parts)
        for _ in range(20):
            await parts.serve(make_request("/plain/x"))
        silence(parts, "w-a")
        assert len(parts.table.select("web", tell_time())) == 2

    play(test, "a", "b")


def test_request_waits_for_a_rest_that_ends_within_its_objective():
    async def test(parts):
        answer_all(parts)
        record_backoff(parts, "w-a", "w-b", seconds=0.2)
        await parts.serve(make_request("/plain/x"))
        assert len(parts.engines.orders) == 1

    play(test, "a", "b")


def test_requests_that_wait_for_the_end_of_a_rest_are_not_sent_in_a_burst():
    async def test(parts):
        record_backoff(parts, "w-a", seconds=0.2)
        parts.engines.heads.clear()
        calls = [parts.start(make_request("/plain/x"))[1] for _ in range(5)]
        run = await parts.engines.wait_run(1)
        await asyncio.sleep(0.05)
        assert count_sends(parts, "w-a") == 1
        parts.engines.heads.set()
        await wait_until(lambda: count_sends(parts, "w-a") == 5)
        run.end()
        for call in calls:
            call.cancel()
        await asyncio.gather(*calls, return_exceptions=True)

    play(test, "a")


@pytest.mark.parametrize("full", (False, True))
def test_target_at_rest_is_asked_for_no_reservation(full):
    async def test(parts):
        record_backoff(parts, "a")
        if full:
            parts.engines.full.add("b")
        _, task = parts.start(make_request("/llm/x"))
        if full:
            await asyncio.sleep(0.5)
            parts.engines.full.clear()
        run = await parts.engines.wait_run(1)
        await finish(task, run, 1)
        assert {name for name, _ in parts.engines.reserved} == {"b"}
        assert count_sends(parts, "a") == 0

    play(test, "a", "b", engine=RESERVING)


def test_generation_is_refused_at_once_when_all_rests_are_too_long():
    async def test(parts):
        record_backoff(parts, "a", "b", seconds=8.0)
        began = tell_time()
        failure = await fail(parts, make_request("/llm/x"))
        assert tell_time() - began < 0.5
        assert failure.kind is ErrorKind.OVERLOADED
        assert failure.retry_after.total_seconds() >= 7.0
        assert parts.engines.reserved == []

    play(test, "a", "b", engine=RESERVING)


def test_rest_in_the_refusal_of_a_reservation_is_respected():
    async def test(parts):
        parts.engines.full.add("a")
        parts.engines.full_facts = AnswerFacts(
            backoff=RequestedBackoff(5.0), limit=None
        )
        tasks = []
        for _ in range(5):
            tasks.append(parts.start(make_request("/llm/x"))[1])
            await asyncio.sleep(0.05)
        assert parts.engines.reserve_attempts.count("a") <= 1
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    play(test, "a", "b", engine=RESERVING)


def test_migration_waits_for_the_end_of_a_rest_of_its_source():
    async def test(parts):
        caller, task, run = await begin(parts)
        source = run.target
        record_backoff(parts, source, seconds=0.4)
        parts.leave(source)
        await asyncio.sleep(0.25)
        assert parts.engines.moves == []
        await wait_until(lambda: len(parts.engines.moves) == 2)
        again = await parts.engines.wait_run(2)
        await finish(task, again, 2)
        assert caller.finished

    play(test, "a", "b")


def test_target_at_rest_is_sent_no_control_call_or_probe():
    async def test(parts):
        record_backoff(parts, "a")
        calls = parts.dispatcher.calls
        target = make_target("a")
        assert not await calls.drop(target, "h1")
        moved = await calls.move(target, "r1", make_target("b"), False, 1.0)
        assert moved.outcome is MoveOutcome.HELD_BACK
        assert parts.engines.dropped == [] and parts.engines.moves == []
        await calls.probe(target)
        assert parts.engines.probed == []

    play(test, "a", "b")


def test_stopped_run_resumes_at_its_source_when_the_copy_is_at_rest():
    async def test(parts):
        caller, task, run = await begin(parts)
        other = "b" if run.target == "a" else "a"
        move = parts.engines.move

        async def move_and_ask(*args):
            moved = await move(*args)
            if args[3]:
                record_backoff(parts, other, seconds=9.0)
            return moved

        parts.engines.move = move_and_ask
        parts.leave(run.target)
        again = await parts.engines.wait_run(2)
        assert again.target == run.target
        await finish(task, again, 2)
        assert caller.finished

    play(test, "a", "b")


def test_expired_rest_is_removed_by_an_answer_without_one():
    async def test(parts):
        answer_all(parts)
        record_backoff(parts, "w-a", seconds=0.05)
        await asyncio.sleep(0.06)
        parts.engines.facts = AnswerFacts(backoff=NoBackoff())
        await parts.serve(make_request("/plain/x"))
        assert not parts.backoffs

    play(test, "a")


def test_restarted_target_is_not_at_rest():
    async def test(parts):
        answer_all(parts)
        record_backoff(parts, "w-a", seconds=9.0)
        target = make_target("w-a", "web")
        target.born = 5
        parts.table.put(target)
        await parts.serve(make_request("/plain/x"))
        assert count_sends(parts, "w-a") == 1

    play(test, "a")


def test_retry_skips_targets_at_rest():
    # The only target without a backoff fails the request, so no target
    # remains for a retry.
    async def test(parts):
        parts.configure(services=(Service(name="web", connections=9),))
        record_backoff(parts, "w-a")
        parts.engines.failing["w-b"] = 500
        caller = await parts.serve(make_request("/read/x"))
        assert caller.status == 500
        assert count_sends(parts, "w-a") == 0

    play(test, "a", "b")
