"""Tests of ends of answers that another entry judges."""

import asyncio
import itertools

import pytest

from chivepier.gateway.forwarding.tests.peersite import play_site
from chivepier.gateway.serving import AnswerFacts
from chivepier.gateway.serving.tests.parts import make_request
from chivepier.gateway.serving.tests.parts import wait_until
from chivepier.types import RequestError

ALL = ("x", "w-x")
STREAMS = ("/resume/a", "/llm/a")
ONCE = ("/llm/a", "/plain/a")
PATHS = (*STREAMS, "/plain/a", "/read/a")
# What the entry with the target finds after the end, or becomes of it.
VOUCHED, ENDED, REPLACED, MUTE = "vouched", "ended", "replaced", "mute"
DIES, STOPS = "entry dies", "entry stops"
FINDINGS = (VOUCHED, ENDED, REPLACED, MUTE, DIES, STOPS)
CASES = tuple(itertools.product(PATHS, FINDINGS))


def finish_reruns(other, path: str) -> None:
    """Answer what is run again with all that follows, and end it."""
    engines = other.parts.engines
    send = engines.send

    async def go_on(*args):
        is_rerun = bool(engines.answers)
        run = await send(*args)
        if is_rerun and run.status == 200:
            run.make(2 if path in STREAMS else 0, "")
            run.end()
        return run

    engines.send = go_on


async def end_answer(other, run, finding: str) -> None:
    """End an answer without a length, and let its entry find something."""
    engines = other.parts.engines
    sets = {
        ENDED: engines.ended,
        REPLACED: engines.replaced,
        MUTE: engines.mute,
    }
    if finding in sets:
        sets[finding].add(run.target)
    if finding == ENDED:
        engines.unreachable.add(run.target)
    if finding == REPLACED:
        engines.misaddressed.add(run.target)
    if finding not in (DIES, STOPS):
        run.end()
        return
    began, goes_on = engines.hold_question()
    run.end()
    await began.wait()
    if finding == DIES:
        await other.die()
    else:
        other.parts.serving.departure.end()
    goes_on.set()


@pytest.mark.parametrize("path, finding", CASES)
def test_forwarded_answer_is_whole_only_if_its_entry_says_so(path, finding):
    # The entry at the caller sees no end of a target, only that of a link.
    async def test(site):
        cut_off, other = site.entries
        cut_off.cut(*ALL)
        other.parts.engines.facts = AnswerFacts(framed=False)
        finish_reruns(other, path)
        caller, task = cut_off.parts.start(make_request(path))
        run = await other.parts.engines.wait_run(1)
        if path in STREAMS:
            run.make(2)
            await caller.wait_events(2)
        else:
            run.make(0, "half of it")
        await end_answer(other, run, finding)
        await asyncio.wait((task,))
        is_whole = finding == VOUCHED
        assert caller.finished is is_whole
        if path in STREAMS:
            assert caller.aborted is not is_whole
            # a rerun at the only target has no more word than the first
            goes_on = path == "/resume/a" and finding == MUTE
            assert caller.numbers == [1, 2] + [3, 4] * goes_on
            await task
        elif is_whole:
            assert caller.data == b"half of it"
            await task
        else:
            assert not caller.begun
            assert isinstance(task.exception(), RequestError)
        await wait_until(lambda: other.parts.serving.active == 0)
        if path in ONCE:
            assert site.count_sends() == 1

    play_site(test)


@pytest.mark.parametrize("framed", (True, False))
def test_forwarded_answer_clears_a_request_by_its_framing_alone(framed):
    # An answer whose end was only vouched for cleared a suspected request.
    async def test(site):
        cut_off, other = site.entries
        cut_off.cut(*ALL)
        other.parts.engines.facts = AnswerFacts(framed=framed)
        request = make_request("/resume/a")
        digest = cut_off.parts.planner.plan(request).digest
        for entry in site.entries:
            entry.parts.hold_back(request)
            entry.parts.order(let_through=request)
        caller, task = cut_off.parts.start(request)
        run = await other.parts.engines.wait_run(1)
        run.make(2)
        run.end()
        await task
        assert caller.finished and caller.numbers == [1, 2]
        for entry in site.entries:
            entry.parts.order()
            held = entry.parts.quarantine.find_hold(digest)
            assert (held is None) is framed, entry.name

    play_site(test)
