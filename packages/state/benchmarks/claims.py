"""Claims per second: one sync each against a shared one.

Run ``python packages/state/benchmarks/claims.py``.  Three voters in one
process, each with a data folder of its own, joined by calls in memory; so
the rate holds three voters' work on one core.  The ratio is what is compared.
"""

import asyncio
import pathlib
import random
import tempfile
import time

import click

from chivepier.messages import AppendRequest
from chivepier.messages import ClaimCommand
from chivepier.messages import encode
from chivepier.messages import Entry
from chivepier.messages import Voter
from chivepier.messages import VoteRequest
from chivepier.messages import VotersCommand
from chivepier.state import DiskStorage
from chivepier.state import Machine
from chivepier.state import Replica
from chivepier.state import Timing
from chivepier.types import SystemClock

NAMES = ("a", "b", "c")
CLAIMS = 3_000
ALONE = 300
TEAMS = 100
AT_ONCE = 128
RATIO_BOUND = 4.0


class DirectLinks:
    """Calls the other voters of this process."""

    def __init__(self) -> None:
        self.replicas: dict[str, Replica] = {}

    async def request(self, peer: str, value, timeout: float):
        """Ask a peer."""
        replica = self.replicas[peer]
        match value:
            case VoteRequest():
                return await replica.handle_vote(value)
            case AppendRequest():
                return await replica.handle_append(value)


async def start(folder: pathlib.Path, links: DirectLinks) -> list[Replica]:
    """Start three voters and wait for a leader.

    :param folder: an empty folder
    :param links: joins them
    :returns: the voters, the leader first
    """
    voters = VotersCommand(tuple(Voter(n, n) for n in NAMES))
    for name in NAMES:
        storage = DiskStorage(folder / name)
        storage.append((Entry(1, 1, encode(voters)),))
        await storage.sync()
        replica = Replica(
            name,
            storage,
            Machine(),
            links,
            SystemClock(),
            Timing(election=0.3, spread=0.3, heartbeat=0.05),
            random.Random(name),
        )
        links.replicas[name] = await replica.__aenter__()
    replicas = list(links.replicas.values())
    while not any(r.leads() and r.commit > 1 for r in replicas):
        await asyncio.sleep(0.01)
    return sorted(replicas, key=lambda r: not r.leads())


async def claim(leader: Replica, numbers: range, at_once: int) -> float:
    """Claim keys and return claims per second.

    :param leader: the leading voter
    :param numbers: of the keys
    :param at_once: so many claims are under way
    :returns: claims per second
    """
    left = iter(numbers)

    async def work() -> None:
        for number in left:
            command = ClaimCommand(
                f"t{number % TEAMS}", f"k{number}", b"d", "r", "n", 1, 1
            )
            answer = await leader.propose(encode(command))
            assert not answer.error, answer

    begin = time.perf_counter()
    await asyncio.gather(*(work() for _ in range(at_once)))
    return len(numbers) / (time.perf_counter() - begin)


async def measure() -> tuple[float, float]:
    """Return claims per second alone and together."""
    links = DirectLinks()
    with tempfile.TemporaryDirectory() as name:
        leader, *others = await start(pathlib.Path(name), links)
        alone = await claim(leader, range(ALONE), 1)
        keys = range(ALONE, ALONE + CLAIMS)
        together = await claim(leader, keys, AT_ONCE)
        for replica in (leader, *others):
            await replica.__aexit__()
    return alone, together


@click.command()
@click.option("--check", is_flag=True, help="Fail beyond the bound.")
def main(check: bool) -> None:
    """Measure claims."""
    alone, together = asyncio.run(measure())
    ratio = together / alone
    click.echo(f"one sync each: {alone:.0f} claims/s")
    click.echo(f"{AT_ONCE} under way: {together:.0f} claims/s")
    click.echo(f"ratio {ratio:.1f} (bound {RATIO_BOUND})")
    if check and ratio < RATIO_BOUND:
        raise SystemExit("group commit gains less than its bound")


if __name__ == "__main__":
    main()
