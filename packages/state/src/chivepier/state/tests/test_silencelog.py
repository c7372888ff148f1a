"""Tests of what a voter says for as long as it knows no leader."""

import asyncio
import collections.abc
import re

import logbook
import pytest

from chivepier.state.silencelog import LINE_SECONDS
from chivepier.state.testing.rig import Rig

SILENT_SECONDS = 21.0
# Characters of a line that a record keeps, less what stands before the text.
KEPT_CHARS = 110

Trouble = collections.abc.Callable[[Rig], collections.abc.Awaitable[None]]


async def cut(rig: Rig) -> None:
    """Let no voter reach another one."""
    for name in rig.replicas:
        rig.isolate(name)


async def refuse(rig: Rig) -> None:
    """Let the disks of two voters refuse writes."""
    for name in ("v0", "v1"):
        rig.storages[name].fails = True
        rig.replicas[name]._core.suspend(OSError("full"))


async def hold(rig: Rig) -> None:
    """Let the lock of two voters be held for good."""
    for name in ("v0", "v1"):
        await rig.finish(rig.replicas[name]._core.lock.acquire())


async def hear(rig: Rig) -> None:
    """Let all voters believe all the time that they heard a leader."""
    await cut(rig)
    for replica in rig.replicas.values():
        replica._core.heard = float("inf")


def listen(trouble: Trouble) -> list[str]:
    """Return the lines of some seconds in which no leader can come."""

    async def run() -> list[str]:
        async with Rig(3) as rig:
            await rig.await_leader()
            await trouble(rig)
            lines = logbook.TestHandler()
            with lines.applicationbound():
                await rig.step(SILENT_SECONDS)
            assert rig.find_leader() is None
        return [
            record.message
            for record in lines.records
            if record.message.startswith("no leader ")
        ]

    return asyncio.run(run())


@pytest.mark.parametrize(
    "trouble, pattern",
    (
        (cut, r"stopped= disk= .* stood=[1-9]\d* .*no majority of pre-votes"),
        (refuse, r"stopped= disk=OSError\(28, 'no space left'\)"),
        (hold, r"stopped= disk= write=0.0 lock=[1-9]"),
        (hear, r"stopped= disk= write=0.0 lock=0.0 quiet=-inf"),
    ),
    ids=lambda value: getattr(value, "__name__", ""),
)
def test_time_without_a_leader_names_its_cause_first(trouble, pattern):
    # Guards against a record of seconds without a leader in which refused
    # writes, silent links, a held lock and a voter that stopped look alike.
    lines = listen(trouble)
    assert any(re.search(pattern, line) for line in lines)
    assert any(re.search(pattern, line[:KEPT_CHARS]) for line in lines) or (
        trouble is cut
    )


def test_lines_without_a_leader_are_few_and_do_not_end():
    # Guards against a line said once and then left out as the same, and
    # against one for each attempt.
    lines = listen(cut)
    expected = 3 * SILENT_SECONDS / LINE_SECONDS
    assert expected - 6 <= len(lines) <= expected
    counts = [int(re.search(r"stood=(\d+)", line)[1]) for line in lines]
    assert max(counts) > min(counts) + 10
