"""Tests with real processes that pause repeatedly."""

import asyncio
import signal

import pytest

from soak.blocks import reserve_block
from soak.trafficscenario import TrafficScenario

# Seconds for which processes pause, and run in between: answers come later
# than the maximum wait of a request, but no lease is lost.
PAUSE_SECONDS, RUN_SECONDS = 0.25, 0.2
COLD_SECONDS = 60.0
# Minimum number of requests that each cold target must get.
MIN_RUNS = 5


async def pause_repeatedly(processes) -> None:
    """Pause processes repeatedly, until cancelled."""
    try:
        while True:
            for process in processes:
                process.signal(signal.SIGSTOP)
            await asyncio.sleep(PAUSE_SECONDS)
            for process in processes:
                process.signal(signal.SIGCONT)
            await asyncio.sleep(RUN_SECONDS)
    finally:
        for process in processes:
            process.signal(signal.SIGCONT)


@pytest.mark.parametrize("role", ("voters", "entries"))
def test_cold_targets_are_used_while_processes_pause(role, tmp_path):
    # Permits expired before the entries got them, and a service with only cold
    # targets was not served at all.
    async def work(block: int) -> TrafficScenario:
        scenario = TrafficScenario(tmp_path, block, 1, 3)
        async with asyncio.timeout(60), scenario.run():
            for target in scenario.targets:
                target.turn_cold(COLD_SECONDS)
            # Until entries know that targets are cold, they send as before.
            await asyncio.sleep(1.5)
            before = [target.runs for target in scenario.targets]
            late = asyncio.create_task(
                pause_repeatedly(getattr(scenario, role))
            )
            while any(
                target.runs < first + MIN_RUNS
                for target, first in zip(scenario.targets, before)
            ):
                await asyncio.sleep(0.1)
            late.cancel()
            await asyncio.gather(late, return_exceptions=True)
        return scenario

    with reserve_block() as block:
        scenario = asyncio.run(work(block))
    for target in scenario.targets:
        # The target itself checks the number of requests while it is cold.
        assert target.signals.violations == []
