"""Tests of entries that are cut off from targets."""

import asyncio
import time

import pytest

from soak.blocks import reserve_block
from soak.cutscenario import CutScenario
from soak.targetlink import Cut
from soak.targetlink import PROPAGATION_SECONDS

ENTRIES = 4
CUT_SECONDS = 8.0


@pytest.mark.parametrize("seed", (1, 2, 3))
@pytest.mark.parametrize("shape", Cut)
def test_callers_of_cut_off_entry_are_served(shape, seed, tmp_path):
    # An entry that reached no target refused callers that others could serve.
    async def work(block: int):
        scenario = CutScenario(tmp_path, block, seed, ENTRIES)
        async with asyncio.timeout(60), scenario.run():
            await asyncio.sleep(1.0)
            began = time.monotonic()
            async with scenario.cut(shape, scenario.entries[:2]):
                await asyncio.sleep(CUT_SECONDS)
                ended = time.monotonic()
                # the last ones are answered while the cut lasts
                await asyncio.sleep(0.5)
        since = began + PROPAGATION_SECONDS
        return scenario, [
            scenario.count(entries, since, ended)
            for entries in (scenario.entries[:2], scenario.entries[2:])
        ]

    with reserve_block() as block:
        scenario, (cut_off, others) = asyncio.run(work(block))
    assert scenario.checker.violations == []
    assert cut_off.sent > 20 and others.sent > 20
    assert others.failed == 0
    assert cut_off.failed == 0
