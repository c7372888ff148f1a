"""Targets that end under one request, with real processes."""

import asyncio
import contextlib
import os

import pytest

from soak.outbreak import Outbreak

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


@pytest.mark.parametrize("entries", [1, 3])
def test_request_that_ends_targets_stops_reaching_them(entries, tmp_path):
    # Streams of all teams broke off, over and over. One request ended each
    # target that began to run it; its caller sent it again, under new ids, at
    # several entries, and each of these sent it to one target after the other
    # and remembered nothing. Three ends are allowed, and the time in which
    # entries can hear of the third; then no target is sent it any more, its
    # caller is told so at once, and the others are served.
    block = 20 + (2 * os.getpid() + entries) % 50

    async def work():
        outbreak = Outbreak(tmp_path, block, seed=1, entries=entries)
        async with asyncio.timeout(60), outbreak.start() as session:
            async with call_beside(outbreak, session):
                await outbreak.insist(session, INSISTING_SECONDS)
        return outbreak.seen

    seen = asyncio.run(work())
    assert len(seen.ends) >= 3
    assert seen.late == []
    assert set(seen.answers[-4:]) == {503}
    assert set(seen.sound[-20:]) == {200}
