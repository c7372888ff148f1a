"""Presses beside troubles: ``python -m soak.press --seed 0 --seeds 200``."""

import asyncio
import itertools
import pathlib
import random
import shutil
import sys
import tempfile

import click

from soak.answerfaults import AnswerFault
from soak.blocks import reserve_block
from soak.doubtfultarget import DoubtfulTarget
from soak.pressscenario import PressScenario
from soak.trouble import Trouble
from soak.troubles import Troubles

CALLERS = 12
REPEATABLE_SHARE = 0.25
ENTRIES, TARGETS = (1, 3, 7), (1, 3, 40)
# Troubles beside each other, and how often in a run they are drawn.
MIN_TROUBLES, MAX_TROUBLES = 2, 4
SERIES = 3
TROUBLE_SECONDS = 2.5
PAIRS = tuple(itertools.combinations(Trouble, 2))
# Seconds after which a run has failed.
MAX_SECONDS = 600.0

Series = list[tuple[Trouble, ...]]


async def press_beside(
    scenario: PressScenario, series: Series, seconds: float
) -> None:
    """Let callers press beside a series of troubles.

    Violations are in the scenario's checker.

    :param series: troubles that come beside each other, one after the other
    :param seconds: time for each of them, in seconds
    """
    scenario.repeatable_share = REPEATABLE_SHARE
    scenario.link_entries()
    async with asyncio.timeout(MAX_SECONDS), scenario.run() as session:
        troubles = Troubles(scenario, session)
        async with scenario.press(session):
            for kinds in series:
                await troubles.play(kinds, seconds)
        await troubles.check_recovery()


def draw_scenario(
    rng: random.Random, folder: pathlib.Path, block: int, seed: int
) -> tuple[PressScenario, Series]:
    """Draw a size, faulty answers and troubles."""
    scenario = PressScenario(
        folder,
        block,
        seed,
        rng.choice(ENTRIES),
        rng.choice(TARGETS),
        CALLERS,
        DoubtfulTarget,
    )
    kinds = tuple(AnswerFault)
    for target in scenario.targets:
        count = rng.randint(0, len(kinds))
        target.answer_faults.kinds = tuple(rng.sample(kinds, count))
        target.refused_share = rng.uniform(0.1, 0.8)
    series = [
        tuple(
            rng.sample(list(Trouble), rng.randint(MIN_TROUBLES, MAX_TROUBLES))
        )
        for _ in range(SERIES)
    ]
    return scenario, series


@click.command()
@click.option("--seed", default=0, show_default=True, help="The first seed.")
@click.option("--seeds", default=1, show_default=True, help="How many.")
@click.option(
    "--pairs",
    type=(int, int),
    help="Each pair of troubles at so many entries and targets instead.",
)
@click.option(
    "--part",
    type=(int, int),
    default=(0, 1),
    show_default=True,
    help="With --pairs: which part of them, and of how many.",
)
def main(
    seed: int,
    seeds: int,
    pairs: tuple[int, int] | None,
    part: tuple[int, int],
) -> None:
    """Press beside troubles, and keep the logs of runs that fail."""
    failed = 0
    for number in range(seed, seed + seeds):
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"press-{number}-"))
        with reserve_block() as block:
            if pairs is None:
                rng = random.Random(number)
                scenario, series = draw_scenario(rng, folder, block, number)
            else:
                scenario = PressScenario(
                    folder, block, number, *pairs, CALLERS, DoubtfulTarget
                )
                series = list(PAIRS[part[0] :: part[1]])
            try:
                asyncio.run(press_beside(scenario, series, TROUBLE_SECONDS))
            except TimeoutError:
                text = f"not at its end after {MAX_SECONDS} s"
                scenario.checker.violations.append(text)
        failed += report(number, scenario, series, folder)
    sys.exit(1 if failed else 0)


def report(
    number: int,
    scenario: PressScenario,
    series: Series,
    folder: pathlib.Path,
) -> bool:
    """Print what a run showed; tell if it failed."""
    replies, seen = scenario.replies, scenario.checker.violations
    statuses = {reply.status for reply in replies}
    counts = {s: scenario.count_replies(s) for s in sorted(statuses)}
    size = f"{len(scenario.entries)} entries, {len(scenario.targets)} targets"
    print(f"seed {number}: {size}, {counts}, broken {len(seen)}", flush=True)
    if not seen:
        shutil.rmtree(folder)
        return False
    names = [" ".join(kind.value for kind in kinds) for kinds in series]
    for text in (*seen[:10], f"troubles: {names}", f"logs: {folder}"):
        print(f"  {text}")
    return True


if __name__ == "__main__":
    main()
