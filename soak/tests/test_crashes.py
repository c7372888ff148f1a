"""Targets that end under one request, with real processes."""

import asyncio
import contextlib

import pytest

from soak.blocks import reserve_block
from soak.crashscenario import CrashRecord
from soak.crashscenario import CrashScenario

# Seconds for which the request goes on coming once every entry must know.
REPEAT_SECONDS = 4.0


@contextlib.asynccontextmanager
async def run_callers(scenario, session):
    """Let sound callers ask meanwhile."""
    tasks = [asyncio.create_task(scenario.call(session)) for _ in range(4)]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def run_scenario(folder, entries: int, disturbed: bool = False) -> CrashRecord:
    """Play one outbreak to its end."""

    async def work(block: int):
        scenario = CrashScenario(folder, block, seed=1, entries=entries)
        async with asyncio.timeout(60), scenario.run() as session:
            async with run_callers(scenario, session):
                work = scenario.repeat_crashing_request(
                    session, REPEAT_SECONDS
                )
                if disturbed:
                    await asyncio.gather(work, scenario.inject_faults())
                else:
                    await work
        return scenario.record

    with reserve_block() as block:
        return asyncio.run(work(block))


def check(record: CrashRecord) -> None:
    """Check what targets and both kinds of callers saw."""
    assert len(record.crashes) >= 3
    assert record.late_arrivals == []
    assert set(record.answers[-4:]) == {503}
    assert set(record.other_answers[-20:]) == {200}


@pytest.mark.parametrize("entries", [1, 3])
def test_request_that_crashes_targets_is_blocked(entries, tmp_path):
    # Streams of all teams broke off, over and over. One request ended each
    # target that began to run it; its caller sent it again, under new ids, at
    # several entries, and each of these sent it to one target after the other
    # and remembered nothing. Three ends are allowed, and the time in which
    # entries can hear of the third; then no target is sent it any more, its
    # caller is told so at once, and the others are served.
    record = run_scenario(tmp_path, entries)
    check(record)


def test_disturbed_entries_block_the_crashing_request(tmp_path):
    # Entries that stood still or started anew sent the request on.
    record = run_scenario(tmp_path, 4, disturbed=True)
    assert record.disturbed
    check(record)
