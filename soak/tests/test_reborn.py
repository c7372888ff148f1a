"""Tests of streams whose targets end and start again at their address."""

import asyncio

import pytest

from soak.blocks import reserve_block
from soak.rebornscenario import Rebirth
from soak.rebornscenario import RebornScenario

TIMES = 4


@pytest.mark.parametrize("manner", Rebirth)
def test_stream_of_an_ended_incarnation_never_looks_whole(manner, tmp_path):
    # The next process at a target's address vouched for the streams of the
    # one before.
    async def work(block: int):
        scenario = RebornScenario(tmp_path, block, 1)
        async with asyncio.timeout(60), scenario.run():
            for _ in range(TIMES):
                await scenario.bear_again(manner)
        return scenario

    with reserve_block() as block:
        scenario = asyncio.run(work(block))
    streams = scenario.streams
    whole = [stream for stream in streams if stream.whole]
    print(
        f"{len(streams)} streams, {len(whole)} whole,"
        f" {len(scenario.falsely_whole)} falsely"
    )
    assert all(stream.in_order for stream in streams)
    assert whole
    assert scenario.falsely_whole == []
