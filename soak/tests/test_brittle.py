"""Tests of targets that end when they refuse too many requests."""

import asyncio

import pytest

from soak.blocks import reserve_block
from soak.brittlescenario import BEARABLE
from soak.brittlescenario import BrittleScenario
from soak.brittlescenario import TARGETS

RUSH_SECONDS = 12.0
CALLERS = 60
# Falls that the users' page allows in one time of need.
MAX_FALLS = 2 + TARGETS / 10


@pytest.mark.parametrize("entries", (1, 3, 7))
def test_brittle_targets_survive_a_rush(entries, tmp_path):
    # Targets that had said how few refusals they bear fell over in a rush.
    async def work(block: int) -> BrittleScenario:
        scenario = BrittleScenario(tmp_path, block, 1, entries, CALLERS)
        async with asyncio.timeout(60), scenario.run() as session:
            for target in scenario.targets:
                target.bearable = BEARABLE
            async with scenario.press(session):
                await asyncio.sleep(RUSH_SECONDS)
        return scenario

    with reserve_block() as block:
        scenario = asyncio.run(work(block))
    assert scenario.checker.violations == []
    served = sum(reply.status == 200 for reply in scenario.replies)
    assert served > 100
    falls = [len(target.falls) for target in scenario.targets]
    assert sum(falls) <= MAX_FALLS, falls
