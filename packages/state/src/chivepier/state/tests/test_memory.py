"""What a voter takes in memory after many large changes."""

import asyncio
import multiprocessing
import pathlib
import random
import re

import cbor2

from chivepier.messages import ChangeCommand
from chivepier.messages import Edit
from chivepier.messages import encode
from chivepier.messages import Entry
from chivepier.messages import Voter
from chivepier.messages import VotersCommand
from chivepier.state import DiskStorage
from chivepier.state import Machine
from chivepier.state import Replica
from chivepier.state import Snapshot
from chivepier.state import Timing
from chivepier.types import SystemClock

# What the smallest deployment gives a voter.
VOTER_MEMORY_BYTES = 256 << 20
# A configuration of 350 routes.
CONTENT_BYTES = 80_000
# As many as an earlier release had in its snapshot and in its log when it went
# over its memory: at each start the next snapshot was due.
SNAPSHOT_CONTENTS, LOG_CONTENTS = 420, 440
ALL_CONTENTS = SNAPSHOT_CONTENTS + LOG_CONTENTS
KEY = ("configuration", "whole")
# A disk that is nearly full accepts and refuses in turn.
RENEWALS = 4


def read_peak() -> int:
    """Return the most bytes that this process has had in memory."""
    status = pathlib.Path("/proc/self/status").read_text()
    return int(re.search(r"VmHWM:\s+(\d+) kB", status)[1]) << 10


def make_command(number: int, base: int) -> bytes:
    """Make a change of one large document."""
    spec = random.Random(number).randbytes(CONTENT_BYTES)
    edit = Edit(*KEY, base, spec)
    return encode(ChangeCommand(f"change-{number}", "", (edit,)))


async def found(folder: pathlib.Path) -> DiskStorage:
    """Open a voter's disk, with itself as the only voter."""
    storage = DiskStorage(folder)
    if not storage.last_index:
        command = encode(VotersCommand((Voter("v", "v"),)))
        storage.append((Entry(1, 1, command),))
        await storage.sync()
    return storage


async def change(folder: pathlib.Path, numbers: range) -> int:
    """Run one voter, commit large changes; return its peak of memory."""
    storage = await found(folder)
    replica = Replica(
        "v",
        storage,
        Machine(),
        None,
        SystemClock(),
        Timing(),
        random.Random(0),
    )
    async with replica:
        while not (
            replica.leads() and replica.machine.index >= storage.last_index
        ):
            await asyncio.sleep(0.05)
        for number in numbers:
            document = replica.machine.documents.get(KEY)
            base = document.version if document else 0
            answer = await replica.propose(make_command(number, base))
            assert not answer.error
    storage.close()
    return read_peak()


def run_changes(folder: str, numbers: range) -> int:
    """Do so in a process of its own."""
    return asyncio.run(change(pathlib.Path(folder), numbers))


def test_hundreds_of_large_changes_fit_a_voters_memory(tmp_path):
    # Guards against keeping the contents of past changes: the voter goes
    # over its memory, and again at each start from its disk.
    context = multiprocessing.get_context("spawn")
    with context.Pool(1, maxtasksperchild=1) as pool:
        for numbers in (range(900), range(900, 901)):
            peak = pool.apply(run_changes, (str(tmp_path), numbers))
            assert peak <= VOTER_MEMORY_BYTES


async def fill_as_before(folder: pathlib.Path) -> None:
    """Leave a disk as an earlier release did when it went over its memory.

    Snapshot and log each have the contents of several hundred changes.
    """
    storage, machine = await found(folder), Machine()
    machine.apply(storage.entries[0])
    for number in range(SNAPSHOT_CONTENTS):
        command = make_command(number, machine.index if number else 0)
        machine.apply(Entry(1, machine.index + 1, command))
    snapshot = add_contents(machine.take_snapshot())
    await storage.save_snapshot(snapshot)
    for number in range(SNAPSHOT_CONTENTS, ALL_CONTENTS):
        command = make_command(number, storage.last_index)
        storage.append((Entry(1, storage.last_index + 1, command),))
        await storage.sync()
    storage.close()


def add_contents(snapshot: Snapshot) -> Snapshot:
    """Give each past change of a snapshot a content of its own."""
    fields = cbor2.loads(snapshot.data)
    fields["history"] = [
        (*item[:-1], random.Random(number).randbytes(CONTENT_BYTES))
        for number, item in enumerate(fields["history"])
    ]
    return Snapshot(snapshot.index, snapshot.term, cbor2.dumps(fields))


def test_start_from_a_disk_full_of_past_contents_fits_a_voters_memory(
    tmp_path,
):
    # Guards against a voter that goes over its memory at each start from a
    # disk that an earlier release has filled.
    asyncio.run(fill_as_before(tmp_path))
    context = multiprocessing.get_context("spawn")
    with context.Pool(1, maxtasksperchild=1) as pool:
        numbers = range(ALL_CONTENTS, ALL_CONTENTS + 1)
        peak = pool.apply(run_changes, (str(tmp_path), numbers))
    assert peak <= VOTER_MEMORY_BYTES
    storage = DiskStorage(tmp_path, used=True)
    assert make_command(numbers[0], 0)[-CONTENT_BYTES // 2 :] in (
        storage.entries[-1].command
    )


async def renew(folder: pathlib.Path) -> int:
    """Open a disk, renew it as after refused writes; return the peak."""
    storage = DiskStorage(folder, used=True)
    for _ in range(RENEWALS):
        await storage.renew()
    storage.close()
    return read_peak()


def run_renewals(folder: str) -> int:
    """Do so in a process of its own."""
    return asyncio.run(renew(pathlib.Path(folder)))


def test_renewals_of_a_long_log_fit_a_voters_memory(tmp_path):
    # Guards against a voter that goes over its memory after a full disk.
    asyncio.run(fill_as_before(tmp_path))
    context = multiprocessing.get_context("spawn")
    with context.Pool(1, maxtasksperchild=1) as pool:
        peak = pool.apply(run_renewals, (str(tmp_path),))
    assert peak <= VOTER_MEMORY_BYTES


def test_snapshot_of_an_earlier_release_loses_its_past_contents():
    # Guards against contents that stay in the state for ever.
    machine = Machine()
    for number in range(10):
        command = make_command(number, machine.index)
        machine.apply(Entry(1, machine.index + 1, command))
    again = Machine()
    again.restore(add_contents(machine.take_snapshot()))
    assert len(again.history) == 10 and not again.history[0].removed
    assert len(again.take_snapshot().data) < 2 * CONTENT_BYTES
