"""Tests of a prompt part that crashes targets, with real processes."""

import asyncio

import pytest

from soak.blocks import reserve_block
from soak.disturbances import disturb
from soak.disturbances import restart_all
from soak.partscenario import PartRecord
from soak.partscenario import PartScenario
from soak.partscenario import PROPAGATION_SECONDS

# Seconds for which requests with the part come.
CRASHING_SECONDS = 16.0
# Arrivals that are allowed once all entries must hold the part back.
MAX_LATE_ARRIVALS = 3
# Seconds after which sound requests must begin as before: targets that
# crashed are back.
RECOVERY_SECONDS = 6.0


async def stay_calm(scenario: PartScenario, record: PartRecord) -> None:
    """Inject no fault beside the crashes."""


async def lose_all(scenario: PartScenario, record: PartRecord) -> None:
    """Kill all processes some seconds after the first crashes."""
    while len(record.crashes) < 3:
        await asyncio.sleep(0.01)
    await asyncio.sleep(PROPAGATION_SECONDS)
    await restart_all(scenario, record)


def run_scenario(folder, entries: int, inject=stay_calm) -> PartRecord:
    """Run callers of both kinds, and return what was recorded."""

    async def work(block: int):
        scenario = PartScenario(folder, block, seed=1, entries=entries)
        async with asyncio.timeout(60), scenario.run() as session:
            callers = [
                asyncio.create_task(scenario.call(session)) for _ in range(4)
            ]
            await asyncio.sleep(1.0)
            await asyncio.gather(
                scenario.call_crashing(session, CRASHING_SECONDS),
                inject(scenario, scenario.record),
            )
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
    check(run_scenario(tmp_path, entries))


@pytest.mark.parametrize("inject", [disturb, lose_all])
def test_disturbed_entries_hold_back_the_part(inject, tmp_path):
    # Guards against entries that were paused, killed or lost their voters'
    # data, and send requests with the part again.
    record = run_scenario(tmp_path, 4, inject)
    assert record.disturbed
    check(record)


def check(record: PartRecord) -> None:
    """Check that the part is held back and other requests are served."""
    assert len(record.crashes) >= 3
    assert len(record.late_arrivals) <= MAX_LATE_ARRIVALS
    assert set(record.answers[-4:]) == {503}
    since = max(record.crashes[-1], record.serving) + RECOVERY_SECONDS
    served, sent = record.count_sound(since)
    assert sent >= 20 and served > 0.9 * sent
