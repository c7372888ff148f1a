"""Tests of a prompt part that crashes targets, with real processes."""

import asyncio

import pytest

from soak.blocks import reserve_block
from soak.partscenario import PartRecord
from soak.partscenario import PartScenario

# Seconds for which requests with the part come.
CRASHING_SECONDS = 14.0
# Arrivals that are allowed once all entries must hold the part back.
MAX_LATE_ARRIVALS = 3
# Seconds after which sound requests must begin as before: targets that
# crashed are back.
RECOVERY_SECONDS = 6.0


def run_scenario(folder, entries: int) -> PartRecord:
    """Run callers of both kinds, and return what was recorded."""

    async def work(block: int):
        scenario = PartScenario(folder, block, seed=1, entries=entries)
        async with asyncio.timeout(60), scenario.run() as session:
            callers = [
                asyncio.create_task(scenario.call(session)) for _ in range(4)
            ]
            await asyncio.sleep(1.0)
            await scenario.call_crashing(session, CRASHING_SECONDS)
            for task in callers:
                task.cancel()
            await asyncio.gather(*callers, return_exceptions=True)
        return scenario.record

    with reserve_block() as block:
        return asyncio.run(work(block))


@pytest.mark.parametrize("entries", [1, 3, 7])
def test_part_that_crashes_targets_is_held_back_in_all_requests(
    entries, tmp_path
):
    # Guards against a part of prompts that crashes targets in one request
    # after another, no two of them alike.
    record = run_scenario(tmp_path, entries)
    assert len(record.crashes) >= 3
    assert len(record.late_arrivals) <= MAX_LATE_ARRIVALS
    assert set(record.answers[-4:]) == {503}
    since = record.crashes[-1] + RECOVERY_SECONDS
    served, sent = record.count_sound(since)
    assert sent >= 20 and served > 0.9 * sent
