"""Tests with real processes whose links go silent without a reset."""

import asyncio

import pytest

from soak.blocks import reserve_block
from soak.proxy import LOST_ANSWERS
from soak.proxy import LOST_SENT
from soak.silentscenario import SilentScenario

ROUNDS = 4


def run_scenario(
    folder, rounds: int, directions: tuple[str, ...] = ()
) -> SilentScenario:
    """Run a scenario with some silences, and return what it saw."""

    async def work(block: int) -> SilentScenario:
        scenario = SilentScenario(folder, block, 1, directions)
        async with asyncio.timeout(100):
            await scenario.run(rounds)
        return scenario

    with reserve_block() as block:
        return asyncio.run(work(block))


def test_routes_are_in_force_though_all_links_went_silent(tmp_path):
    # Guards against entries that all refuse a route that was acknowledged
    # just before their links to the voters went silent.
    scenario = run_scenario(tmp_path, ROUNDS)
    assert scenario.outdated == []
    assert scenario.answered > 20 * ROUNDS


@pytest.mark.parametrize("direction", (LOST_SENT, LOST_ANSWERS))
def test_routes_are_in_force_though_links_are_silent_one_way(
    tmp_path, direction
):
    # Guards against entries that hear what voters push, reach none of them,
    # and serve by an older version, as their links pass for sound.
    scenario = run_scenario(tmp_path, 1, (direction,))
    assert scenario.outdated == []
    assert scenario.answered > 20
