"""Tests of a request that crashes its targets, with real processes."""

import asyncio
import contextlib

import pytest

from soak.blocks import reserve_block
from soak.crashscenario import CrashRecord
from soak.crashscenario import CrashScenario
from soak.disturbances import disturb

# Seconds for which the request is repeated once every entry must know of it.
REPEAT_SECONDS = 4.0
# Pause of an entry's start that outlasts the requests of the other tests.
START_PAUSE_SECONDS = 8.0


@contextlib.asynccontextmanager
async def run_callers(scenario, session):
    """Run callers that send other requests meanwhile."""
    tasks = [asyncio.create_task(scenario.call(session)) for _ in range(4)]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def run_scenario(
    folder, entries: int, disturbed: bool = False, start_pause: float = 0.0
) -> CrashRecord:
    """Run the scenario and return what callers and targets recorded."""

    async def work(block: int):
        scenario = CrashScenario(folder, block, seed=1, entries=entries)
        async with asyncio.timeout(60), scenario.run() as session:
            async with run_callers(scenario, session):
                work = scenario.repeat_crashing_request(
                    session, REPEAT_SECONDS
                )
                if disturbed:
                    await asyncio.gather(
                        work, disturb(scenario, scenario.record, start_pause)
                    )
                else:
                    await work
        return scenario.record

    with reserve_block() as block:
        return asyncio.run(work(block))


def check(record: CrashRecord) -> None:
    """Check that the crashing request is blocked and others are served."""
    assert len(record.crashes) >= 3
    assert record.late_arrivals == []
    assert set(record.answers[-4:]) == {503}
    assert set(record.other_answers[-20:]) == {200}


@pytest.mark.parametrize("entries", [1, 3])
def test_request_that_crashes_targets_is_blocked(entries, tmp_path):
    # A request crashed each target that ran it and broke the streams of all
    # teams. Its caller repeated it under new ids at several entries, which
    # kept no record of crashes and sent it to one target after the other.
    # Three crashes are allowed, and the time until entries know of the third.
    record = run_scenario(tmp_path, entries)
    check(record)


def test_disturbed_entries_block_the_crashing_request(tmp_path):
    # Entries that had been paused or restarted still sent the request.
    record = run_scenario(tmp_path, 4, disturbed=True)
    assert record.disturbed
    check(record)


def test_entry_that_starts_slowly_blocks_the_crashing_request(tmp_path):
    # Guards against requests that a late entry sends, as it knows of no crash,
    # and against callers that it leaves without an answer once it listens.
    record = run_scenario(
        tmp_path, 4, disturbed=True, start_pause=START_PAUSE_SECONDS
    )
    assert record.serving >= record.disturbed + START_PAUSE_SECONDS
    check(record)
