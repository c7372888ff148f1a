"""Answers whose target fails before, or after, the first token."""

import asyncio

import pytest

from chivepier.messages import PermitOutcome
from chivepier.node.completion import parse_completion
from chivepier.node.generation import Generation
from chivepier.node.retrybudget import RetryBudget
import chivepier.node.tests.fakeengine as fake
from chivepier.node.tests.fakeengine import FakeEngine
from chivepier.node.tests.fakeentry import make_entry
from chivepier.node.tests.fakeentry import make_service
from chivepier.types import ErrorKind
from chivepier.types import Ran
from chivepier.types import RequestError

BODY = {"model": "drafting", "prompt": "p", "adapter": "x", "priority": 9}


def make(entry, once=False):
    ask = parse_completion(dict(BODY), chat=False)
    return Generation(entry, make_service(), ask, once)


def run(work):
    """Run a test's body on two engines."""

    async def play():
        async with FakeEngine() as first, FakeEngine() as second:
            async with make_entry(first.address, second.address) as entry:
                await work(entry, first, second)

    asyncio.run(play())


async def drain(generation):
    return b"".join([data async for data in generation.stream()])


def test_a_target_dead_before_the_first_token_is_replaced():
    """The first engine's process is gone; its permit came just before."""

    async def work(entry, first, second):
        await first.stop()
        assert (await drain(make(entry))).endswith(b"data: [DONE]\n\n")
        assert len(second.posts) == 1
        await entry.background.join()
        outcomes = [r.outcome for r in entry.permits.released]
        assert outcomes == [PermitOutcome.NOT_RUN, PermitOutcome.FINISHED]

    run(work)


def test_after_the_first_token_no_other_target_is_asked():
    """The engine forgets the generation after three tokens.

    A second generation would have another text: never a splice of two.
    """

    async def work(entry, first, second):
        first.scripts = [fake.cut_at(3), fake.refuse(404, "unknown")]
        with pytest.raises(RequestError) as caught:
            await drain(make(entry))
        assert caught.value.failure.kind is ErrorKind.GENERATION_LOST
        assert caught.value.failure.ran is Ran.YES
        assert not second.posts

    run(work)


def test_a_whole_answer_is_had_from_another_target_at_any_token():
    """Nothing was delivered yet, so the first engine's part is dropped."""

    async def work(entry, first, second):
        first.scripts = [fake.cut_at(3), fake.refuse(404, "unknown")]
        events = await make(entry).collect()
        assert events.count(b"\n\n") == 9 and len(second.posts) == 1

    run(work)


def test_a_request_that_may_run_once_stays_with_its_target():
    """The engine's answer never came; it may run.  Not elsewhere, then."""

    async def work(entry, first, second):
        first.scripts = [fake.refuse(500, "perhaps")]
        with pytest.raises(RequestError) as caught:
            await make(entry, once=True).collect()
        assert caught.value.failure.ran is Ran.UNKNOWN
        assert not second.posts

    run(work)


def test_a_request_that_may_run_once_leaves_a_target_that_refused():
    async def work(entry, first, second):
        first.scripts = [fake.refuse(503, "no")]
        await make(entry, once=True).collect()
        assert len(second.posts) == 1

    run(work)


def test_not_run_is_said_only_if_no_target_may_have_run_it():
    """The first may have run it; for the second there is no room.

    The refusal of the second alone says "not run", which isn't true.
    """

    async def work(entry, first, second):
        entry.permits.addresses = [first.address]
        first.scripts = [fake.refuse(500, "perhaps")]
        with pytest.raises(RequestError) as caught:
            await make(entry).collect()
        assert caught.value.failure.kind is ErrorKind.NO_TARGET
        assert caught.value.failure.ran is Ran.UNKNOWN

    run(work)


def test_an_outage_is_not_amplified():
    """Every target fails every request: retries keep to their share."""

    async def work(entry, first, second):
        for engine in (first, second):
            engine.scripts = [fake.refuse(500, "perhaps")]
        entry.budgets._budgets["p"] = RetryBudget(ratio=0.125, most=2.0)
        for _ in range(40):
            with pytest.raises(RequestError):
                await make(entry).collect()
        assert len(first.posts) == 40
        assert 2 <= len(second.posts) <= 2 + 40 / 8

    run(work)


def test_a_caller_that_leaves_has_its_generation_cancelled():
    """The stream is closed after its first event; the engine is freed.

    It is cancelled by its reader's number, so a later reader keeps it.
    """

    async def work(entry, first, second):
        first.scripts = [fake.hang_at(3)]
        events = make(entry).stream()
        await anext(events)
        await events.aclose()
        assert not first.cancels
        await entry.background.join()
        assert first.cancels == ["1"]
        assert entry.permits.released[0].tokens == 3

    run(work)


def test_a_stop_order_reaches_the_stream():
    async def work(entry, first, second):
        first.scripts = [fake.hang_at(3)]
        events = make(entry).stream()
        await anext(events)
        entry.permits.inflight[0].stop(3.0)
        with pytest.raises(RequestError) as caught:
            await anext(events)
        assert caught.value.failure.kind is ErrorKind.STOPPED_EARLY
        await entry.background.join()
        assert first.cancels == ["1"]

    run(work)


def test_what_the_engine_is_told_is_the_teams_own():
    """A caller can't name an adapter or a priority of its own."""

    async def work(entry, first, second):
        await make(entry).collect()
        body = first.posts[0]
        assert "adapter" not in body
        assert body["priority"] == 1 and body["cache_salt"] == "t"
        assert body["max_tokens"] == 1000 and body["model"] == "m"

    run(work)
