"""Tests with real processes whose links go silent without a reset."""

import asyncio

from soak.blocks import reserve_block
from soak.silentscenario import SilentScenario

ROUNDS = 4


def test_routes_are_in_force_though_all_links_went_silent(tmp_path):
    # Guards against entries that all refuse a route that was acknowledged
    # just before their links to the voters went silent.
    async def work(block: int) -> SilentScenario:
        scenario = SilentScenario(tmp_path, block, 1)
        async with asyncio.timeout(100):
            await scenario.run(ROUNDS)
        return scenario

    with reserve_block() as block:
        scenario = asyncio.run(work(block))
    assert scenario.refused == []
    assert scenario.answered > 20 * ROUNDS
