"""Tests of holding back requests for a part of their prompts."""

import asyncio

import attrs
import pytest

from chivepier.gateway.quarantine.crashdetector import SUSPECT_WINDOW_SECONDS
from chivepier.gateway.quarantine.crashledger import ENDING_TTL_SECONDS
from chivepier.gateway.quarantine.digest import digest_part
from chivepier.gateway.quarantine.ending import Ending
from chivepier.gateway.quarantine.incarnation import Incarnation
from chivepier.gateway.quarantine.overrides import Overrides
from chivepier.gateway.quarantine.partholds import SETTLE_SECONDS
from chivepier.gateway.quarantine.partholds import UNCLEAR_HOLD_SECONDS
from chivepier.gateway.quarantine.partsoundness import LIVED_ON_SECONDS
from chivepier.gateway.quarantine.serviceactivity import MIN_ANSWERS
from chivepier.gateway.serving.answerfacts import AnswerFacts
from chivepier.gateway.serving.tests.parts import ENGINE
from chivepier.gateway.serving.tests.parts import fail
from chivepier.gateway.serving.tests.parts import finish
from chivepier.gateway.serving.tests.parts import make_request
from chivepier.gateway.serving.tests.parts import play
from chivepier.gateway.serving.tests.parts import wait_until
from chivepier.standins.loopclock import tell_time
from chivepier.types import ErrorKind
from chivepier.types import Ran
from chivepier.types import RequestError
from chivepier.types import seconds_to_retry

RESERVING = attrs.evolve(ENGINE, reserve_seconds=2.0)
NAMES = "abcdefgh"


def make_prompt(number: int, *shared: str, path: str = "/resume", **changes):
    """Create a request that no other one is like, with shared parts."""
    return make_request(
        f"{path}/{number}",
        id=f"r{number}",
        body=str(number).encode(),
        shared_parts=shared,
        **changes,
    )


def hold_part(parts, *shared: str, age: float = 1.0, count: int = 3) -> None:
    """Record that targets of another entry ended under these parts."""
    digests = tuple(map(digest_part, shared))
    parts.quarantine.merge(
        Ending(
            f"other{number}",
            Incarnation(f"other{number}", 1),
            tell_time() - age,
            "e2",
            "refused",
            "t1",
            "llm v1",
            True,
            digests,
        )
        for number in range(count)
    )


async def answer(parts, request) -> None:
    """Have a target answer a request completely."""
    caller, task = parts.start(request)
    run = await parts.engines.wait_run(len(parts.engines.answers) + 1)
    await finish(task, run, 2)
    assert caller.finished


async def crash(parts, request) -> None:
    """Have the target of a request end as it begins to answer it."""
    count = len(parts.engines.answers)
    _, task = parts.start(request)
    run = await parts.engines.wait_run(count + 1)
    parts.engines.ended.add(run.target)
    run.cut()
    await asyncio.sleep(0.01)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


@pytest.mark.parametrize(
    "shared",
    [("p", "x"), ("x", "p"), ("x", "p", "y"), ("p",)],
    ids=["first", "second-to-last", "middle", "alone"],
)
def test_third_end_under_a_part_holds_back_all_requests_with_it(shared):
    async def test(parts):
        for number in range(3):
            await crash(parts, make_prompt(number, *shared))
        sends = len(parts.engines.orders)
        failure = await fail(parts, make_prompt(9, *shared))
        assert failure.kind is ErrorKind.HELD_BACK and failure.ran is Ran.NO
        assert seconds_to_retry(failure) > 0
        assert len(parts.engines.orders) == sends
        line = parts.read_lines("request_held")[-1]
        assert digest_part("p")[:12] in line["parts"]

    play(test, *NAMES)


def test_sound_requests_with_the_other_parts_are_served():
    # They share their caller, their first part and their subject.
    async def test(parts):
        for number in range(3):
            await answer(parts, make_prompt(number, "first", "subject"))
        for number in range(10, 13):
            await crash(parts, make_prompt(number, "first", "p", "subject"))
        await answer(parts, make_prompt(20, "first", "subject"))
        failure = await fail(parts, make_prompt(21, "first", "p"))
        assert failure.kind is ErrorKind.HELD_BACK

    play(test, *NAMES)


def test_part_that_is_answered_at_another_entry_is_cleared_there():
    # An entry that was not asked for the part before sees three targets end.
    async def test(parts):
        await answer(parts, make_prompt(0, "common"))
        sent = []
        parts.quarantine.publish = sent.append
        hold_part(parts, "common")
        assert [record.digest for record in sent] == [digest_part("common")]
        await answer(parts, make_prompt(1, "common"))

    play(test, *NAMES)


def test_new_evidence_is_open_to_contradiction_before_anyone_is_refused():
    # Three targets end in one moment; the word that a part which all requests
    # share is sound is still on its way.
    async def test(parts):
        hold_part(parts, "common", age=0.0)
        caller, task = parts.start(make_prompt(1, "common"))
        await asyncio.sleep(SETTLE_SECONDS / 2)
        assert not task.done() and not parts.engines.orders
        quarantine = parts.quarantine
        quarantine._clear(digest_part("common"), tell_time(), "llm v1")
        run = await parts.engines.wait_run(1)
        await finish(task, run, 2)
        assert caller.finished

    play(test, *NAMES)


def test_settled_evidence_ends_what_waits_at_targets():
    # Their targets have not failed, and are used for others at once.
    async def test(parts):
        caller, task = parts.start(make_prompt(1, "p", path="/llm"))
        run = await parts.engines.wait_run(1)
        hold_part(parts, "p", age=0.0)
        assert not run.closed
        with pytest.raises(RequestError) as caught:
            await task
        assert caught.value.failure.ran is Ran.UNKNOWN and run.closed
        assert not parts.read_lines("target_lost")
        await answer(parts, make_prompt(2, "x", path="/llm"))

    play(test, "a")


def test_request_is_held_back_while_its_connection_is_made():
    async def test(parts):
        send = parts.engines.send

        async def hold_then_send(*args):
            hold_part(parts, "p")
            return await send(*args)

        parts.engines.send = hold_then_send
        failure = await fail(parts, make_prompt(1, "p"))
        assert failure.kind is ErrorKind.HELD_BACK
        assert not parts.engines.orders

    play(test, "a")


def test_request_that_waits_for_room_is_refused():
    async def test(parts):
        parts.engines.full = {"a"}
        _, task = parts.start(make_prompt(1, "p", path="/llm"))
        await wait_until(lambda: parts.queues.list_own())
        hold_part(parts, "p")
        with pytest.raises(RequestError) as caught:
            await task
        assert caught.value.failure.kind is ErrorKind.HELD_BACK
        assert not parts.engines.orders

    play(test, "a", engine=RESERVING)


@pytest.mark.parametrize("status", [404, 429, 500])
def test_an_answer_of_failure_clears_no_part(status):
    # A target that turns a request away need not have read its prompt.
    async def test(parts):
        parts.engines.failing = {f"w-{name}": status for name in NAMES}
        request = make_prompt(1, "p", path="/read")
        await parts.serve(request)
        hold_part(parts, "p")
        failure = await fail(parts, make_prompt(2, "p"))
        assert failure.kind is ErrorKind.HELD_BACK

    play(test, *NAMES)


def test_first_events_clear_no_part_and_a_long_run_does():
    async def test(parts):
        caller, task = parts.start(make_prompt(1, "p", path="/llm"))
        run = await parts.engines.wait_run(1)
        run.make(1)
        await caller.wait_events(1)
        hold_part(parts, "p", count=2)
        assert parts.quarantine.ledger.parts.count(digest_part("p")) == 2
        await asyncio.sleep(SUSPECT_WINDOW_SECONDS + 0.1)
        run.make(1)
        await caller.wait_events(2)
        assert not parts.quarantine.ledger.parts.count(digest_part("p"))
        await finish(task, run, 1)

    play(test, *NAMES)


@pytest.mark.parametrize("lives_on", [True, False])
def test_answer_without_framing_clears_parts_if_its_target_lives_on(lives_on):
    async def test(parts):
        parts.engines.facts = AnswerFacts(framed=False)
        await answer(parts, make_prompt(1, "p"))
        hold_part(parts, "p")
        name = parts.engines.answers[0].target
        parts.table.get(name).heard = tell_time()
        await asyncio.sleep(LIVED_ON_SECONDS)
        if lives_on:
            parts.table.mark_alive([name], tell_time())
        await asyncio.sleep(LIVED_ON_SECONDS / 2)
        parts.quarantine.expire()
        assert bool(parts.quarantine.ledger.parts.groups) is not lives_on

    play(test, *NAMES)


def test_part_of_all_requests_is_tried_again_soon():
    # Targets end by themselves at a start, before anything was answered, with
    # a part that all requests have.
    async def test(parts):
        hold_part(parts, "common")
        failure = await fail(parts, make_prompt(1, "common"))
        assert failure.kind is ErrorKind.HELD_BACK
        assert seconds_to_retry(failure) <= UNCLEAR_HOLD_SECONDS
        await asyncio.sleep(UNCLEAR_HOLD_SECONDS)
        tasks = []
        while not parts.engines.orders:
            request = make_prompt(10 + len(tasks), "common")
            tasks.append(parts.start(request)[1])
            await asyncio.sleep(0.25)
        assert len(parts.engines.orders) == 1
        run = await parts.engines.wait_run(1)
        run.make(2)
        run.end()
        results = await asyncio.gather(*tasks, return_exceptions=True)
        assert results.count(None) == 1
        await answer(parts, make_prompt(1000, "common"))

    play(test, *NAMES)


def test_part_stands_out_where_others_are_answered():
    async def test(parts):
        for number in range(MIN_ANSWERS):
            await answer(parts, make_prompt(number, "x"))
        hold_part(parts, "p")
        failure = await fail(parts, make_prompt(100, "p"))
        assert seconds_to_retry(failure) > 500

    play(test, *NAMES)


def test_operator_can_release_or_block_a_part():
    async def test(parts):
        digest = digest_part("p")[:12]
        parts.quarantine.overrides = Overrides((), (digest,))
        failure = await fail(parts, make_prompt(1, "x", "p"))
        assert failure.kind is ErrorKind.HELD_BACK
        hold_part(parts, "p")
        parts.quarantine.overrides = Overrides((digest,), ())
        await answer(parts, make_prompt(2, "x", "p"))

    play(test, *NAMES)


def test_requests_without_parts_are_judged_by_themselves():
    async def test(parts):
        hold_part(parts, "p")
        await answer(parts, make_prompt(1))

    play(test, *NAMES)


def test_part_under_which_very_many_targets_ended_is_held_back():
    # With each further end a hold is longer; a long power is too large.
    async def test(parts):
        hold_part(parts, "p", count=2_000)
        failure = await fail(parts, make_prompt(1, "p"))
        assert failure.kind is ErrorKind.HELD_BACK
        assert seconds_to_retry(failure) <= ENDING_TTL_SECONDS

    play(test, *NAMES)
