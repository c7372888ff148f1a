"""Runs seeds of the soak test: ``python -m soak --seeds 3 --seconds 15``."""

import asyncio
import pathlib
import random
import shutil
import sys
import tempfile

import click

from soak.faults import NEWEST_SET
from soak.run import Soak


@click.command()
@click.option("--seed", type=int, help="One seed; drawn when left out.")
@click.option("--seeds", default=1, show_default=True, help="How many.")
@click.option("--seconds", default=15.0, show_default=True)
@click.option(
    "--block", type=click.IntRange(1, 254), default=77, show_default=True
)
@click.option(
    "--kinds",
    default=NEWEST_SET,
    show_default=True,
    help="Set of faults; a seed keeps the one that it was drawn with.",
)
@click.option(
    "--only",
    default="",
    help="Names of faults with commas between; each once, then drawn.",
)
def main(
    seed: int | None,
    seeds: int,
    seconds: float,
    block: int,
    kinds: int,
    only: str,
) -> None:
    """Run seeds, and keep the logs of those that fail."""
    failed = 0
    for _ in range(seeds):
        chosen = seed if seed is not None else random.randrange(1 << 32)
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{chosen}-"))
        soak = Soak(chosen, folder, block, kinds)
        if only:
            soak.faults.keep_only(*only.split(","))
        seen = asyncio.run(soak.run(seconds))
        print(
            f"seed {chosen}: answered {seen.answered}, failed {seen.failed},"
            f" changes {seen.acknowledged}, faults {len(soak.faults.names)},"
            f" broken {len(seen.violations)}",
            flush=True,
        )
        if seen.violations:
            failed += 1
            for text in seen.violations[:10]:
                print(f"  {text}")
            print(f"  faults: {' '.join(soak.faults.names)}; logs: {folder}")
        else:
            shutil.rmtree(folder)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
