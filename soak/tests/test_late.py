"""Processes that are late again and again, with real processes."""

import asyncio
import signal

import pytest

from soak.blocks import reserve_block
from soak.need import Need

# Seconds for which processes stand still, and run in between: answers are
# late by more than a request waits, and no lease is lost.
STILL_SECONDS, RUN_SECONDS = 0.25, 0.2
COLD_SECONDS = 60.0
# Requests that each cold target must get.
RUNS = 5


async def delay(processes) -> None:
    """Let processes stand still for moments, until cancelled."""
    try:
        while True:
            for process in processes:
                process.signal(signal.SIGSTOP)
            await asyncio.sleep(STILL_SECONDS)
            for process in processes:
                process.signal(signal.SIGCONT)
            await asyncio.sleep(RUN_SECONDS)
    finally:
        for process in processes:
            process.signal(signal.SIGCONT)


@pytest.mark.parametrize("role", ("voters", "entries"))
def test_targets_that_take_few_are_used_while_processes_are_late(
    role, tmp_path
):
    # Leave to send lapsed before it came, and a service whose targets are all
    # cold was served by nobody.
    async def work(block: int) -> Need:
        need = Need(tmp_path, block, 1, 3)
        async with asyncio.timeout(60), need.run():
            for target in need.targets:
                target.turn_cold(COLD_SECONDS)
            # until the entries know, they send as before
            await asyncio.sleep(1.5)
            before = [target.runs for target in need.targets]
            late = asyncio.create_task(delay(getattr(need, role)))
            while any(
                target.runs < first + RUNS
                for target, first in zip(need.targets, before)
            ):
                await asyncio.sleep(0.1)
            late.cancel()
            await asyncio.gather(late, return_exceptions=True)
        return need

    with reserve_block() as block:
        need = asyncio.run(work(block))
    for target in need.targets:
        # what it bears cold, it checks by itself
        assert target.wishes.ignored == []
