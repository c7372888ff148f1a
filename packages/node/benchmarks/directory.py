"""Memory and time of the configuration at growing numbers of teams.

Run with ``python packages/node/benchmarks/directory.py``; prints a row per
size.  Times are CPU time of this process: trials, bound to the machine.
"""

import gc
import hashlib
import time
import tracemalloc

from chivepier.documents import Grant
from chivepier.documents import pack_spec
from chivepier.documents import Team
from chivepier.documents import Template
from chivepier.messages import ChangeCommand
from chivepier.messages import Edit
from chivepier.messages import encode
from chivepier.messages import Entry
from chivepier.node.directory import Directory
from chivepier.state import Machine

SIZES = (1_000, 5_000, 10_000, 25_000, 49_000)
BATCH = 500
MODELS = 28


def make_team(number: int) -> Edit:
    """Return the edit that adds one team with two grants."""
    key = hashlib.sha256(f"key-{number}".encode()).hexdigest()
    grants = {f"model-{(number + i) % MODELS}": Grant() for i in range(2)}
    spec = Team(key_sha256=(key,), weight=1.0, grants=grants)
    return Edit("team", f"team-{number}", 0, pack_spec(spec))


def apply_edits(machine: Machine, edits: list[Edit]) -> None:
    """Apply edits as one change."""
    index = machine.index + 1
    command = ChangeCommand(f"change-{index}", "bench", tuple(edits))
    machine.apply(Entry(1, index, encode(command)))


def fill(teams: int) -> Machine:
    """Return a machine that holds so many teams."""
    machine = Machine()
    models = [
        Edit("template", f"model-{i}", 0, pack_spec(Template(pool="p")))
        for i in range(MODELS)
    ]
    apply_edits(machine, models)
    for start in range(0, teams, BATCH):
        stop = min(teams, start + BATCH)
        apply_edits(machine, [make_team(n) for n in range(start, stop)])
    return machine


def measure(teams: int) -> tuple[float, ...]:
    """Return bytes per team, packed and indexed, and three times in ms."""
    gc.collect()
    tracemalloc.start()
    machine = fill(teams)
    machine.recent.clear()
    machine.history.clear()
    directory = Directory(machine)
    gc.collect()
    held = tracemalloc.get_traced_memory()[0]
    time_lookup(directory)
    gc.collect()
    indexed = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    directory = Directory(machine)
    first = time_lookup(directory)
    document = machine.documents[("team", "team-1")]
    edit = Edit("team", "team-1", document.version, document.spec)
    started = time.process_time()
    apply_edits(machine, [edit])
    change = (time.process_time() - started) * 1000
    after = time_lookup(directory)
    return held / teams, indexed / teams, first, change, after


def time_lookup(directory: Directory) -> float:
    """Return the milliseconds of one look-up by key."""
    started = time.process_time()
    directory.find_team("Bearer key-2")
    return (time.process_time() - started) * 1000


def main() -> None:
    """Print a row per size."""
    print(" teams  packed B  indexed B  first ms  change ms  look-up after")
    for teams in SIZES:
        held, indexed, first, change, after = measure(teams)
        print(
            f"{teams:>6}{held:>10.0f}{indexed:>11.0f}{first:>10.2f}"
            f"{change:>11.2f}{after:>15.2f}"
        )


if __name__ == "__main__":
    main()
