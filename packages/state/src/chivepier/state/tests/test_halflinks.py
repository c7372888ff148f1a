"""Tests of elections among voters of which only some links work, for good.

Each link works one way, both ways or not at all. Wherever one voter can
exchange messages with a majority whose logs are no longer than its own,
somebody leads soon, whoever else stands, is heard and can't win.
"""

import asyncio
import itertools
import random

import pytest

from chivepier.messages import encode
from chivepier.messages import Noop
from chivepier.state.testing.rig import Rig
from chivepier.state.tests.test_elections import CALM_SECONDS

SEEDS = range(2)
# Seconds without any link before some work again.
DARK_SECONDS = 4.0
# Sets of links that are drawn for more than three voters.
DRAWN = 40

Path = tuple[str, str]


def list_cuts(size: int) -> list[frozenset[Path]]:
    """Return each set of cut paths of three voters, or some of more."""
    names = [f"v{i}" for i in range(size)]
    paths = list(itertools.permutations(names, 2))
    if size == 3:
        choices = itertools.product((False, True), repeat=len(paths))
    else:
        rng = random.Random(size)
        choices = ([rng.random() < 0.35 for _ in paths] for _ in range(DRAWN))
    return [
        frozenset(path for path, is_cut in zip(paths, cut) if is_cut)
        for cut in choices
    ]


def find_able(rig: Rig, cut: frozenset[Path]) -> list[str]:
    """Return the voters that a majority can elect and confirm."""
    return [
        name
        for name in rig.replicas
        if 2 * len(list_supporters(rig, name, cut)) > len(rig.replicas)
    ]


def list_supporters(rig: Rig, name: str, cut: frozenset[Path]) -> list[str]:
    """Return who can vote for a voter, itself included."""

    def read_log(node: str) -> tuple[int, int]:
        storage = rig.replicas[node].storage
        return storage.last_term, storage.last_index

    return [
        other
        for other in rig.replicas
        if not {(name, other), (other, name)} & cut
        and read_log(other) <= read_log(name)
    ]


async def measure(
    size: int, seed: int, cut: frozenset[Path], is_longer: bool
) -> float | None:
    """Return the seconds to a leader; ``None`` where nobody can be elected.

    :param is_longer: whether the leader before has an entry that no other has
    """
    async with Rig(size, seed) as rig:
        leader = await rig.await_leader()
        for name in rig.replicas:
            rig.isolate(name)
        if is_longer:
            task = asyncio.ensure_future(leader.propose(encode(Noop())))
            task.add_done_callback(lambda done: done.exception())
        await rig.step(DARK_SECONDS)
        if not find_able(rig, cut):
            return None
        rig.network.cut.clear()
        rig.network.cut |= cut
        began = rig.clock.monotonic()
        await rig.await_leader()
        return rig.clock.monotonic() - began


@pytest.mark.parametrize("is_longer", (False, True), ids=("equal", "longer"))
@pytest.mark.parametrize("size", (3, 4, 5))
def test_voter_that_a_majority_can_elect_is_elected(size, is_longer):
    # Guards against voters that hold one another's pre-votes for ever, and
    # against candidates that can't win and hold back those that can.
    async def test():
        for cut in list_cuts(size):
            for seed in SEEDS:
                seconds = await measure(size, seed, cut, is_longer)
                text = f"seed {seed}, cut {sorted(cut)}"
                assert seconds is None or seconds < CALM_SECONDS, text

    asyncio.run(test())
