"""Restart time of a voter, after many changes, with and without snapshot.

Run ``python packages/state/benchmarks/restart.py``.  Times depend on the
machine; the ratios are what is compared: time per change at 10,000 over that
at 1,000 (bound 2: linear), and without over with a snapshot.
"""

import asyncio
import pathlib
import random
import tempfile
import time

import click

from chivepier.messages import ChangeCommand
from chivepier.messages import Edit
from chivepier.messages import encode
from chivepier.messages import Entry
from chivepier.messages import Voter
from chivepier.messages import VotersCommand
from chivepier.state import DiskStorage
from chivepier.state import Machine
from chivepier.state import Replica
from chivepier.state import SnapshotPolicy
from chivepier.state import Timing
from chivepier.types import SystemClock

SPEC = bytes(120)
BATCH = 50
LINEAR_BOUND = 2.0
NEVER = SnapshotPolicy(
    entries=1 << 30, most_entries=1 << 30, most_bytes=1 << 40
)


def make_entries(count: int) -> list[Entry]:
    """Make a log of changes of as many teams.

    :param count: number of changes
    :returns: entries, the first naming the only voter
    """
    commands = [VotersCommand((Voter("v", "v"),))]
    commands += [
        ChangeCommand(f"c{i}", "op", (Edit("team", f"t{i}", 0, SPEC),))
        for i in range(count)
    ]
    return [
        Entry(1, i, encode(command)) for i, command in enumerate(commands, 1)
    ]


async def fill(folder: pathlib.Path, count: int, snapshot: bool) -> None:
    """Write a data folder.

    :param folder: an empty one
    :param count: number of changes
    :param snapshot: cover them by a snapshot
    """
    storage = DiskStorage(folder)
    entries = make_entries(count)
    for start in range(0, len(entries), BATCH):
        storage.append(tuple(entries[start : start + BATCH]))
        await storage.sync()
    await storage.save_vote(1, "v")
    if snapshot:
        machine = Machine()
        for entry in entries:
            machine.apply(entry)
        await storage.save_snapshot(machine.take_snapshot())
    storage.close()


async def restart(folder: pathlib.Path, count: int) -> float:
    """Open a folder and apply its log.

    :param folder: a filled one
    :param count: number of changes
    :returns: seconds until every change is applied, elections left out
    """
    begin = time.perf_counter()
    storage = DiskStorage(folder, used=True)
    replica = Replica(
        "v",
        storage,
        Machine(),
        None,
        SystemClock(),
        Timing(),
        random.Random(1),
        policy=NEVER,
    )
    replica._core.raise_commit(count + 1)
    async with replica:
        while replica.machine.index < count + 1:
            await replica.machine.changed.wait()
    return time.perf_counter() - begin


def measure(count: int, snapshot: bool) -> float:
    """Return the seconds of one restart.

    :param count: number of changes
    :param snapshot: whether they are in a snapshot
    :returns: seconds, the best of three
    """
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        asyncio.run(fill(folder, count, snapshot))
        return min(asyncio.run(restart(folder, count)) for _ in range(3))


@click.command()
@click.option("--check", is_flag=True, help="Fail beyond the bounds.")
def main(check: bool) -> None:
    """Measure restarts."""
    logged = {n: measure(n, False) for n in (1_000, 10_000)}
    packed = {n: measure(n, True) for n in (1_000, 10_000)}
    for count in logged:
        click.echo(
            f"{count:>6} changes: log {logged[count] * 1e3:.1f} ms,"
            f" snapshot {packed[count] * 1e3:.1f} ms,"
            f" ratio {logged[count] / packed[count]:.1f}"
        )
    growth = logged[10_000] / logged[1_000] / 10
    click.echo(f"time per change at 10,000 over 1,000: {growth:.2f}")
    click.echo(f"applied entry: {logged[10_000] / 10_000 * 1e6:.1f} us")
    if check and growth > LINEAR_BOUND:
        raise SystemExit("restart time grows faster than the log")


if __name__ == "__main__":
    main()
