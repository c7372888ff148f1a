"""Targets that end under one request, with real processes."""

import asyncio
import contextlib

import pytest

from soak.blocks import reserve_block
from soak.outbreak import Outbreak
from soak.outbreak import Seen

# Seconds for which the request goes on coming once every entry must know.
INSISTING_SECONDS = 4.0


@contextlib.asynccontextmanager
async def call_beside(outbreak, session):
    """Let sound callers ask meanwhile."""
    tasks = [asyncio.create_task(outbreak.call(session)) for _ in range(4)]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def play(folder, entries: int, disturbed: bool = False) -> Seen:
    """Play one outbreak to its end."""

    async def work(block: int):
        outbreak = Outbreak(folder, block, seed=1, entries=entries)
        async with asyncio.timeout(60), outbreak.run() as session:
            async with call_beside(outbreak, session):
                work = outbreak.insist(session, INSISTING_SECONDS)
                if disturbed:
                    await asyncio.gather(work, outbreak.disturb())
                else:
                    await work
        return outbreak.seen

    with reserve_block() as block:
        return asyncio.run(work(block))


def check(seen: Seen) -> None:
    """Check what targets and both kinds of callers saw."""
    assert len(seen.ends) >= 3
    assert seen.late == []
    assert set(seen.answers[-4:]) == {503}
    assert set(seen.sound[-20:]) == {200}


@pytest.mark.parametrize("entries", [1, 3])
def test_request_that_ends_targets_stops_reaching_them(entries, tmp_path):
    # Streams of all teams broke off, over and over. One request ended each
    # target that began to run it; its caller sent it again, under new ids, at
    # several entries, and each of these sent it to one target after the other
    # and remembered nothing. Three ends are allowed, and the time in which
    # entries can hear of the third; then no target is sent it any more, its
    # caller is told so at once, and the others are served.
    seen = play(tmp_path, entries)
    check(seen)


def test_entries_that_missed_the_ends_know_of_them_too(tmp_path):
    # Entries that stood still or started anew sent the request on.
    seen = play(tmp_path, 4, disturbed=True)
    assert seen.disturbed
    check(seen)
