"""Tests of serving callers while targets have rate limits."""

import asyncio

import attrs
import pytest

from chivepier.gateway.config import Service
from chivepier.gateway.limits import NoLimit
from chivepier.gateway.limits import RateLimit
from chivepier.gateway.permits import Claim
from chivepier.gateway.permits import SendDecision
from chivepier.gateway.serving import AnswerFacts
from chivepier.gateway.serving.tests.parts import begin
from chivepier.gateway.serving.tests.parts import ENGINE
from chivepier.gateway.serving.tests.parts import fail
from chivepier.gateway.serving.tests.parts import finish
from chivepier.gateway.serving.tests.parts import make_request
from chivepier.gateway.serving.tests.parts import play
from chivepier.standins.loopclock import tell_time
from chivepier.types import ErrorKind
from chivepier.types import Ran

RESERVING = attrs.evolve(ENGINE, reserve_seconds=1.0)
REFUSED = SendDecision(False, 5.0)


async def answer_plain(parts, count: int = 1) -> list[str]:
    """Serve plain calls in sequence and return the targets used."""
    names = []
    for _ in range(count):
        caller, task = parts.start(make_request("/plain/x"))
        run = await parts.engines.wait_run(len(parts.engines.answers) + 1)
        run.end()
        await task
        names.append(run.target)
    return names


def test_requests_above_a_rate_limit_go_to_other_targets():
    async def test(parts):
        parts.announce_limit("w-a", 1.5)
        parts.decision = REFUSED
        assert set(await answer_plain(parts, 6)) == {"w-b"}

    play(test, "a", "b")


@pytest.mark.parametrize("path", ("/plain/x", "/llm/x"))
def test_no_request_waits_for_a_permit_while_another_target_is_free(path):
    # A call waited for half of its objective though another target was free.
    async def test(parts):
        parts.announce_limit("w-a", 1.5)
        parts.announce_limit("a", 1.5)
        parts.decision = REFUSED
        caller, task = parts.start(make_request(path))
        run = await parts.engines.wait_run(1)
        await finish(task, run, 1)
        assert run.target.endswith("b")
        assert [claim.max_wait for claim in parts.claims] in ([], [0.0])

    play(test, "a", "b", engine=RESERVING)


def test_rate_limited_target_is_sent_requests_with_a_permit():
    async def test(parts):
        parts.announce_limit("w-a", 1.5)
        assert await answer_plain(parts) == ["w-a"]
        (claim,) = parts.claims
        assert (claim.instance, claim.rate) == ("w-a", 1.5)
        assert (claim.team, claim.urgency) == ("t1", 3)
        assert 0.0 <= claim.max_wait <= 0.5

    play(test, "a")


@pytest.mark.parametrize("path", ("/plain/x", "/read/x", "/llm/x"))
def test_call_above_the_limits_of_all_targets_is_refused_at_once(path):
    # It waited in a queue that the rate limits could not empty, or was retried
    # at targets that could not take it either.
    async def test(parts):
        for name in ("a", "b", "w-a", "w-b"):
            parts.announce_limit(name, 0.5)
        parts.decision = REFUSED
        failures = [await fail(parts, make_request(path)) for _ in range(3)]
        assert {f.kind for f in failures} == {ErrorKind.OVERLOADED}
        assert {f.ran for f in failures} == {Ran.NO}
        # the limits of both targets add up to one request per second
        back = [f.retry_after.total_seconds() for f in failures]
        assert back[0] == 1.0 and max(back) <= 3.0
        assert parts.engines.orders == []
        lines = parts.read_lines("over_limit")
        assert [line["rate"] for line in lines] == [1.0, 1.0, 1.0]
        # each target was asked for once: no request waited
        assert len(parts.claims) == 2

    play(test, "a", "b")


def test_avoided_target_is_used_when_all_others_are_at_their_limits():
    # It was avoided after one missing answer, and callers were refused as if
    # all targets had reached their limits.
    async def test(parts):
        parts.announce_limit("w-a", 0.5)
        parts.announce_limit("w-b", 0.5)
        parts.decision = REFUSED
        parts.dispatcher.balancer.avoidance.avoid("w-c")
        assert await answer_plain(parts) == ["w-c"]

    play(test, "a", "b", "c")


def test_briefly_full_target_is_retried_when_the_other_is_at_its_limit():
    # The target without a limit refused once, and the caller was refused as if
    # all targets had reached their limits.
    async def test(parts):
        parts.announce_limit("w-a", 0.5)
        parts.decision = REFUSED
        parts.engines.refuse.add("w-b")
        caller, task = parts.start(make_request("/plain/x"))
        while not parts.engines.orders:
            await asyncio.sleep(0.001)
        parts.engines.refuse.clear()
        run = await parts.engines.wait_run(1)
        run.end()
        await task
        assert run.target == "w-b"

    play(test, "a", "b")


def test_generation_at_a_rate_limited_target_takes_no_reservation():
    # The reservation counted as one more request against the limit.
    async def test(parts):
        parts.announce_limit("a", 1.5)
        caller, task, run = await begin(parts)
        assert parts.engines.reserved == []
        assert len(parts.claims) == 1
        await finish(task, run, 1)

    play(test, "a", engine=RESERVING)


def test_late_generation_gets_a_permit_after_those_in_time():
    # After a burst, late generations would use up the limit of a target.
    async def test(parts):
        parts.announce_limit("a", 1.5)
        parts.engines.facts = AnswerFacts(limit=RateLimit(1.5))
        late = make_request(arrived=tell_time() - 1.5)
        for request in (make_request(), late):
            count = len(parts.engines.answers) + 1
            caller, task = parts.start(request)
            run = await parts.engines.wait_run(count)
            await finish(task, run, 1)
        first, second = (claim.urgency for claim in parts.claims)
        assert first < second

    play(test, "a", engine=RESERVING)


def test_running_streams_of_a_rate_limited_target_continue():
    async def test(parts):
        caller, task, run = await begin(parts)
        parts.announce_limit("a", 0.0)
        parts.decision = REFUSED
        await finish(task, run, 5)
        assert caller.finished and not caller.aborted

    play(test, "a")


def test_limit_is_set_and_removed_by_answers():
    async def test(parts):
        for limit, rate in ((RateLimit(1.5), 1.5), (NoLimit(), None)):
            caller, task = parts.start(make_request("/plain/x"))
            count = len(parts.engines.answers) + 1
            parts.engines.facts = AnswerFacts(limit=limit)
            run = await parts.engines.wait_run(count)
            run.end()
            await task
            assert parts.limits.find_rate("w-a", 0) == rate

    play(test, "a")


def test_generations_migrate_to_targets_without_a_limit():
    # At a rate-limited target the generation would wait for a permit.
    async def test(parts):
        for name in ("b", "c", "d"):
            parts.announce_limit(name, 5.0)
        balancer = parts.dispatcher.balancer
        source = parts.table.get("a")
        for _ in range(10):
            target = balancer.choose_destination(
                "llm", ENGINE, 100, source, {"a"}
            )
            assert target.instance == "e"

    play(test, "a", "b", "c", "d", "e")


def test_generation_does_not_wait_for_limited_targets_beside_a_free_one():
    # Each round tried three random targets, all of them rate-limited.
    async def test(parts):
        parts.decision = REFUSED
        service = parts.state.index.services["llm"]
        gate, claim = parts.dispatcher.gate, Claim("t1", 3)
        for number in range(9):
            parts.announce_limit(f"t{number}", 1.0)
            target = parts.table.get(f"t{number}")
            await gate.acquire_permit(service, target, claim)
        entered = []
        parts.queues.enter = lambda *request: entered.append(request)
        caller, task = parts.start(make_request())
        run = await parts.engines.wait_run(1)
        await finish(task, run, 1)
        assert run.target == "t9"
        # it was never added to the queue
        assert entered == []

    play(test, *(f"t{n}" for n in range(10)), engine=RESERVING)


def test_entry_asks_for_permits_of_few_of_many_limited_targets():
    async def test(parts):
        names = [f"t{n}" for n in range(20)]
        for name in names:
            parts.announce_limit(f"w-{name}", 1.0)
        parts.decision = REFUSED
        await fail(parts, make_request("/plain/x"))
        assert len(parts.claims) == 3

    play(test, *(f"t{n}" for n in range(20)))


def test_permit_of_a_cold_target_is_used_at_once():
    # A permit that is used later would count in the wrong window of the
    # bound for cold targets.
    async def test(parts):
        web = Service(name="web", connections=10, cold_rate=10.0)
        llm = Service(name="llm", connections=10, engine=ENGINE)
        parts.configure(version=2, services=(llm, web))
        parts.table.get("w-a").warm_at = tell_time() + 60.0
        parts.announce_limit("w-a", 1.5)
        await answer_plain(parts)
        (claim,) = parts.claims
        assert claim.max_wait == 0.0 and claim.cold_limit > 0

    play(test, "a")


def test_isolated_entry_keeps_the_last_known_number_of_entries():
    # The last voter that it reaches may know few entries, and the share of
    # this entry would grow.
    async def test(parts):
        parts.announce_limit("w-a", 1.5)
        parts.engines.facts = AnswerFacts(limit=RateLimit(1.5))
        parts.state.entries = 50
        await answer_plain(parts)
        parts.state.entries = 2
        parts.permitted = None
        await fail(parts, make_request("/plain/x"))
        (line,) = parts.read_lines("limits_kept_alone")
        assert line["entries"] == 50

    play(test, "a")
