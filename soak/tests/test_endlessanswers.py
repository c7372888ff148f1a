"""Tests of an entry whose targets answer without end."""

import asyncio

import pytest

from soak.blocks import reserve_block
from soak.endlessscenario import EndlessScenario
from soak.endlesstarget import EndlessTarget
from soak.pressscenario import PressScenario

# Memory of the smallest entries in use.
MEMORY_MB = 136
CALLERS = 100
# Far beyond what ending an answer takes; one that it ends has another status.
DEADLINE_MS = 60_000
PRESS_SECONDS = 8.0
# Answers of each sort, and the entry's processor time within which they come.
ANSWERS = 2 * CALLERS
CPU_SECONDS = 8.0
# Sound callers beside these, and how often they are served until the entry
# has taken as much processor time as one busy core has.
SOUND_CALLERS = 10
SOUND_ANSWERS = 100
SOUND_CPU_SECONDS = 6.0
# What they are given on a machine that is busy; others are answered sooner.
SOUND_MS = 10_000
FLOODS = (
    ("empty-lines", "/stream/x"),
    ("comments", "/stream/x"),
    ("comments-apart", "/stream/x"),
    ("short-chunks", "/stream/x"),
    ("chunks", "/once/x"),
    ("answers", "/once/x"),
    ("empty-answers", "/once/x"),
)


def test_endless_answers_take_bounded_memory_beside_sound_ones(tmp_path):
    # An entry went over its memory, and stood still, while targets answered
    # without end; its sound requests were lost.
    async def work(block: int) -> PressScenario:
        scenario = PressScenario(
            tmp_path, block, 1, 1, 1, CALLERS, EndlessTarget
        )
        (entry,) = scenario.entries
        entry.memory_mb = MEMORY_MB
        scenario.deadline_ms = DEADLINE_MS
        async with asyncio.timeout(120), scenario.run() as session:
            last = entry.read_cpu_seconds() + CPU_SECONDS
            async with scenario.press(session):
                pressed = asyncio.create_task(asyncio.sleep(PRESS_SECONDS))
                while min(map(scenario.count_replies, (200, 502))) < ANSWERS:
                    assert entry.read_cpu_seconds() < last
                    await asyncio.sleep(0.1)
                await pressed
            assert entry.read_peak_mb() < MEMORY_MB
        return scenario

    with reserve_block() as block:
        scenario = asyncio.run(work(block))
    assert scenario.checker.violations == []
    statuses = {reply.status for reply in scenario.replies}
    assert statuses <= {200, 429, 502, 503}


@pytest.mark.parametrize("kind", ("chunks", "short-chunks"))
def test_hundred_answers_of_endless_chunks_take_bounded_memory(kind, tmp_path):
    # An entry went over its memory, as what was read ahead of a body is
    # bounded by its bytes, and short pieces take far more than these.
    async def work(block: int) -> PressScenario:
        scenario = PressScenario(
            tmp_path, block, 1, 1, 1, CALLERS, EndlessTarget
        )
        (entry,), (target,) = scenario.entries, scenario.targets
        target.kinds = (kind,)
        entry.memory_mb = MEMORY_MB
        scenario.deadline_ms = DEADLINE_MS
        async with asyncio.timeout(120), scenario.run() as session:
            target.answers_some = False
            async with scenario.press(session):
                while scenario.count_replies(502) < CALLERS:
                    await asyncio.sleep(0.1)
            assert entry.read_peak_mb() < MEMORY_MB
        return scenario

    with reserve_block() as block:
        scenario = asyncio.run(work(block))
    assert scenario.checker.violations == []
    statuses = {reply.status for reply in scenario.replies}
    assert statuses <= {429, 502, 503}


@pytest.mark.parametrize("kind,path", FLOODS)
def test_sound_requests_are_served_beside_a_flood(kind, path, tmp_path):
    # What arrived at a hundred connections was parsed all at once: sound
    # answers waited until their callers had left, or memory was full.
    async def work(block: int) -> EndlessScenario:
        scenario = EndlessScenario(tmp_path, block, 1, SOUND_CALLERS)
        entry = scenario.entry
        scenario.deadline_ms = SOUND_MS
        async with asyncio.timeout(120), scenario.run() as session:
            (target,) = scenario.targets
            async with scenario.flood(kind, path, CALLERS):
                while target.begun < CALLERS:
                    await asyncio.sleep(0.01)
                last = entry.read_cpu_seconds() + SOUND_CPU_SECONDS
                async with scenario.press(session):
                    while scenario.count_replies(200) < SOUND_ANSWERS:
                        assert entry.read_cpu_seconds() < last
                        await asyncio.sleep(0.05)
                    replies = list(scenario.replies)
            assert {reply.status for reply in replies} == {200}
            assert entry.read_peak_mb() < MEMORY_MB
        return scenario

    with reserve_block() as block:
        scenario = asyncio.run(work(block))
    assert scenario.checker.violations == []
