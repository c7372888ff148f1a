"""Tests of entries that are out of step beside a release."""

import asyncio

import pytest

from soak.blocks import reserve_block
from soak.outofstepscenario import Loss
from soak.outofstepscenario import OutOfStep
from soak.outofstepscenario import OutOfStepScenario


@pytest.mark.parametrize("seed", (1, 2))
@pytest.mark.parametrize("loss", Loss)
@pytest.mark.parametrize("manner", OutOfStep)
def test_no_stream_of_another_version_is_taken_up(
    manner, loss, seed, tmp_path
):
    # An entry that knew the old version only took it for that of any stream.
    async def work(block: int):
        scenario = OutOfStepScenario(tmp_path, block, seed)
        async with asyncio.timeout(60), scenario.run():
            await scenario.release(manner, loss)
        return scenario

    with reserve_block() as block:
        scenario = asyncio.run(work(block))
    streams = scenario.streams
    mixed = [s for s in streams if len(s.versions) > 1]
    print(
        f"{len(streams)} streams, {sum(s.whole for s in streams)} whole,"
        f" {len(mixed)} mixed, {scenario.answers}"
    )
    assert all(stream.in_order for stream in streams)
    answers = scenario.answers
    assert answers.refused + answers.served + answers.cut > 0
    # a 503 tells that nothing ran
    assert answers.statuses <= {503}
    assert mixed == []
