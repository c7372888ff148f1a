"""Tests of streams whose targets end and start again at their address."""

import asyncio

import pytest

from soak.blocks import reserve_block
from soak.lateends import LATE_ENDS
from soak.rebornscenario import Rebirth
from soak.rebornscenario import RebornScenario
from soak.rebornscenario import STREAM_PATH
from soak.streamcaller import RESUME_PATH

TIMES = 4


def check(scenario: RebornScenario) -> None:
    """Check that streams are whole, or else told as broken off."""
    streams = scenario.streams
    whole = [stream for stream in streams if stream.whole]
    print(
        f"{len(streams)} streams, {len(whole)} whole,"
        f" {len(scenario.falsely_whole)} falsely"
    )
    assert all(stream.in_order for stream in streams)
    assert whole
    assert scenario.falsely_whole == []


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
    check(scenario)


@pytest.mark.parametrize("late", LATE_ENDS, ids=str)
def test_stream_of_a_target_that_ends_unheard_never_looks_whole(
    late, tmp_path
):
    # Connections that were not heard to have ended vouched for a stream.
    async def work(block: int):
        paths = (STREAM_PATH, RESUME_PATH)
        scenario = RebornScenario(tmp_path, block, 1, paths)
        async with asyncio.timeout(60), scenario.run():
            for number in range(TIMES):
                await scenario.crash_late(late, asleep=number % 2 == 1)
        return scenario

    with reserve_block() as block:
        scenario = asyncio.run(work(block))
    check(scenario)
    print(f"{len(scenario.broken)} broken off, {scenario.resumptions} resumed")
    assert scenario.broken
