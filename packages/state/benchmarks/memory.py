"""Memory of a machine with many teams, and the time to load it.

Run ``python packages/state/benchmarks/memory.py``.  Bytes are what Python
allocates (``tracemalloc``), so they repeat on any machine of the same width.
"""

import time
import tracemalloc

import cbor2
import click

from chivepier.documents import Document
from chivepier.documents import Grant
from chivepier.documents import pack_spec
from chivepier.documents import Team
from chivepier.state import Answer
from chivepier.state import Machine
from chivepier.state.machine import KEPT_ANSWERS

SIZES = (6_000, 12_000, 24_000, 49_000)
GRANTS = 3
BYTES_BOUND = 600


def make_machine(teams: int) -> Machine:
    """Fill a machine.

    :param teams: number of teams
    :returns: the machine
    """
    machine = Machine()
    for number in range(teams):
        grants = {f"template-{i}": Grant(share=0.5) for i in range(GRANTS)}
        key = f"{number:064x}"
        name = f"team-{number}"
        machine.documents["team", name] = Document(
            kind="team",
            name=name,
            version=number + 1,
            spec=pack_spec(Team(key_sha256=(key,), grants=grants)),
        )
    machine.index = teams
    return machine


def measure(teams: int) -> tuple[int, float, float]:
    """Measure one size.

    :param teams: number of teams
    :returns: bytes, seconds to pack, seconds to load
    """
    snapshot = make_machine(teams).take_snapshot()
    machine = Machine()
    begin = time.perf_counter()
    machine.restore(snapshot)
    load_time = time.perf_counter() - begin
    begin = time.perf_counter()
    machine.take_snapshot()
    make_time = time.perf_counter() - begin
    del machine
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    machine = Machine()
    machine.restore(snapshot)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return after - before, make_time, load_time


def measure_answers() -> int:
    """Return the bytes of all the answers that are kept."""
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    machine = Machine()
    for number in range(KEPT_ANSWERS):
        change_id = f"{number:032x}"
        answer = Answer("", "", number, cbor2.dumps([number + 1_000_000]))
        machine.answers[change_id] = answer
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return after - before


@click.command()
@click.option("--check", is_flag=True, help="Fail beyond the bound.")
def main(check: bool) -> None:
    """Measure four sizes."""
    sizes = {teams: measure(teams) for teams in SIZES}
    for teams, (size, pack, load) in sizes.items():
        click.echo(
            f"{teams:>6} teams: {size / 2**20:.1f} MiB,"
            f" {size / teams:.0f} bytes a team,"
            f" pack {pack * 1e3:.0f} ms, load {load * 1e3:.0f} ms"
        )
    first, last = SIZES[0], SIZES[-1]
    slope = (sizes[last][0] - sizes[first][0]) / (last - first)
    answers = measure_answers()
    click.echo(f"{KEPT_ANSWERS} answers: {answers / 2**20:.1f} MiB")
    click.echo(f"slope {slope:.0f} bytes a team (bound {BYTES_BOUND})")
    if check and slope > BYTES_BOUND:
        raise SystemExit("a team takes more memory than its bound")


if __name__ == "__main__":
    main()
