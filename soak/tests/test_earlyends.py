"""Tests of streams that living targets close before their last event."""

import asyncio

from soak.blocks import reserve_block
from soak.rebornscenario import RebornScenario
from soak.streamcaller import RESUME_PATH

EARLY_EVERY = 20
MIN_STREAMS = 200
MIN_EARLY = 5


def test_stream_that_a_living_target_closes_early_never_looks_whole(tmp_path):
    # Its target lived, and truly said so: the end of a part looked whole.
    async def work(block: int):
        scenario = RebornScenario(tmp_path, block, 1, (RESUME_PATH,))
        for target in scenario.targets:
            target.event_seconds = 0.005
            target.framing.lengthless = False
            target.framing.early_every = EARLY_EVERY
        async with asyncio.timeout(60), scenario.run():
            while len(scenario.streams) < MIN_STREAMS:
                await asyncio.sleep(0.1)
        return scenario

    with reserve_block() as block:
        scenario = asyncio.run(work(block))
    runs = sum(target.runs for target in scenario.targets)
    resumed = runs - len(scenario.streams)
    print(f"{len(scenario.streams)} streams, {resumed} runs more than these")
    assert all(stream.in_order for stream in scenario.streams)
    assert scenario.falsely_whole == []
    assert resumed >= MIN_EARLY
