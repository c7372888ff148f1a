"""Ways to heed the rest that targets ask one entry for, over all entries.

Targets turn away what is above their rate and ask the entry that sent it for
rest. Two loads: one of four targets is weak, or all of them together take less
than is wanted. What counts is how many requests are served, how many sends are
turned away, and how much of what the targets take they get. ``--check`` fails
where the way that serves leaves more than a tenth of a weak target unused by
seven entries and more, or serves less than no way at all.
"""

import argparse
import collections.abc
import random
import sys

import attrs

from chivepier.gateway.limits import BackoffTable

SERVICE_RATE = 60.0
# What each target takes in a second, by load.
LOADS = {
    "one weak": (5.0, 25.0, 25.0, 25.0),
    "all short": (10.0, 10.0, 10.0, 10.0),
}
REST_SECONDS = 3.0
SECONDS = 60.0
SIZES = (1, 7, 75, 191)
SEEDS = range(5)
# Requests that a target takes at once beyond its rate.
DEPTH = 3.0
# Seconds until the other entries hear of a rest.
TOLD_SECONDS = 0.04
# Entries whose rests together keep the others away as well.
WITNESSES = 3


@attrs.define
class BusyTarget:
    """Takes what its rate allows; a bucket that fills evenly."""

    rate: float
    left: float = DEPTH
    at: float = 0.0
    taken: int = 0

    def take(self, now: float) -> bool:
        """Tell whether a request is taken."""
        self.left = min(DEPTH, self.left + self.rate * (now - self.at))
        self.at = now
        if self.left < 1.0:
            return False
        self.left -= 1.0
        self.taken += 1
        return True


class Way:
    """How entries heed rests: by what each believes of each target."""

    def __init__(self, entries: int, rng: random.Random):
        self.boards = [BackoffTable(rng) for _ in range(entries)]
        self._rng = rng

    def rests(self, entry: int, target: int, now: float) -> bool:
        """Tell whether an entry sends a target nothing."""
        board = self.boards[entry]
        return board.find_delay(str(target), 0, now) is not None

    def note(self, entry: int, target: int, now: float) -> None:
        """Take that a target asked an entry for rest."""
        self.boards[entry].add(str(target), 0, REST_SECONDS, now)


class Nobody(Way):
    """Nobody heeds them."""

    def rests(self, entry: int, target: int, now: float) -> bool:
        """Send all the same."""
        return False


class All(Way):
    """All entries heed what one was asked for."""

    def note(self, entry: int, target: int, now: float) -> None:
        """Tell everybody."""
        super().note(entry, target, now)
        for board in self.boards:
            board.add(str(target), 0, REST_SECONDS, now + TOLD_SECONDS)


class Witnesses(Way):
    """Others keep away while several were asked."""

    def rests(self, entry: int, target: int, now: float) -> bool:
        """Count who was asked."""
        if super().rests(entry, target, now):
            return True
        told = now - TOLD_SECONDS
        asked = (
            board.find_delay(str(target), 0, told) is not None
            for board in self.boards
        )
        return sum(asked) >= WITNESSES


WAYS = {
    "nobody": Nobody,
    "the one asked": Way,
    "all": All,
    "all, from three on": Witnesses,
}


@attrs.frozen
class Outcome:
    """What a way led to, as shares.

    :param served: of the requests
    :param refused: sends turned away, for each request
    :param used: of what the first target takes
    """

    served: float
    refused: float
    used: float


def play(
    way: collections.abc.Callable[[int, random.Random], Way],
    rates: tuple[float, ...],
    entries: int,
    seed: int,
) -> Outcome:
    """Play one load by one way."""
    rng = random.Random(seed)
    believed = way(entries, rng)
    targets = [BusyTarget(rate) for rate in rates]
    now, requests, refused, served = 0.0, 0, 0, 0
    while now < SECONDS:
        now += rng.expovariate(SERVICE_RATE)
        entry = rng.randrange(entries)
        requests += 1
        order = rng.sample(range(len(targets)), len(targets))
        for target in order:
            if believed.rests(entry, target, now):
                continue
            if targets[target].take(now):
                served += 1
                break
            refused += 1
            believed.note(entry, target, now)
    used = targets[0].taken / (targets[0].rate * SECONDS + DEPTH)
    return Outcome(served / requests, refused / requests, used)


def measure(
    way: collections.abc.Callable[[int, random.Random], Way],
    rates: tuple[float, ...],
    entries: int,
) -> Outcome:
    """Return the mean over the seeds."""
    found = [play(way, rates, entries, seed) for seed in SEEDS]
    means = [
        sum(getattr(one, field.name) for one in found) / len(found)
        for field in attrs.fields(Outcome)
    ]
    return Outcome(*means)


def main() -> int:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true")
    check = parser.parse_args().check
    failed = False
    for load, rates in LOADS.items():
        print(f"{load}: served, turned away a request, first target used")
        for name, way in WAYS.items():
            found = [measure(way, rates, size) for size in SIZES]
            cells = [
                f"{one.served:.2f} {one.refused:.2f} {one.used:.2f}"
                for one in found
            ]
            print(f"  {name:20}", " | ".join(cells))
            if way is Way and load == "one weak":
                failed = any(one.used < 0.9 for one in found[1:])
    return 1 if check and failed else 0


if __name__ == "__main__":
    sys.exit(main())
