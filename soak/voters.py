"""Losses of voters beside large changes: ``python -m soak.voters``."""

import asyncio
import pathlib
import random
import shutil
import sys
import tempfile

import click

from soak.blocks import reserve_block
from soak.voterscenario import VoterScenario

ENTRIES = (1, 2, 7)


@click.command()
@click.option("--seed", type=int, help="The first seed; drawn if left out.")
@click.option("--seeds", default=1, show_default=True, help="How many.")
@click.option("--seconds", default=40.0, show_default=True)
@click.option("--routes", default=350, show_default=True)
@click.option(
    "--changes",
    default=0,
    show_default=True,
    help="Make so many changes without a loss, and print what they take.",
)
@click.option(
    "--silent",
    is_flag=True,
    help="Let connections between voters go silent one way.",
)
@click.option(
    "--only",
    multiple=True,
    help="Inject this loss; once each, then at random among them.",
)
def main(
    seed: int | None,
    seeds: int,
    seconds: float,
    routes: int,
    changes: int,
    silent: bool,
    only: tuple[str, ...],
) -> None:
    """Run seeds, and keep the logs of those that fail."""
    failed = 0
    first = random.randrange(1 << 32) if seed is None else seed
    for chosen in range(first, first + seeds):
        failed += not run_seed(chosen, seconds, routes, changes, silent, only)
    sys.exit(1 if failed else 0)


def run_seed(
    seed: int,
    seconds: float,
    routes: int,
    changes: int,
    silent: bool,
    only: tuple[str, ...] = (),
) -> bool:
    """Run one seed and print what it showed; return whether it held."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"voters-{seed}-"))
    entries = random.Random(seed).choice(ENTRIES)
    with reserve_block() as block:
        scenario = VoterScenario(folder, block, seed, entries, routes, silent)
        if only:
            scenario.faults.keep_only(*only)
        if changes:
            asyncio.run(scenario.measure(changes))
        else:
            asyncio.run(scenario.run(seconds))
    seen, operator = scenario.checker, scenario.operator
    waits = sorted(operator.ack_seconds)
    print(
        f"seed {seed}: answered {seen.answered}, changes {operator.sent},"
        f" acknowledged within {1000 * waits[len(waits) // 2]:.0f} ms (half),"
        f" {1000 * waits[-1]:.0f} ms (all), entries {entries},"
        f" faults {len(scenario.faults.names)},"
        f" refused {scenario.count_refusals()},"
        f" broken {len(seen.violations)}",
        flush=True,
    )
    if scenario.silent is not None:
        print(
            f"  silences {scenario.silent.silences}, connections"
            f" {scenario.silent.count_silenced()}, effects checked"
            f" {len(scenario.in_force_seconds)}, in force within"
            f" {max(scenario.in_force_seconds, default=0.0):.2f} s",
            flush=True,
        )
    (folder / "violations").write_text("\n".join(seen.violations))
    if not seen.violations:
        shutil.rmtree(folder)
        return True
    for text in seen.violations[:10]:
        print(f"  {text}")
    print(f"  faults: {' '.join(scenario.faults.names)}; logs: {folder}")
    return False


if __name__ == "__main__":
    main()
