"""Ways to keep a cold target within its bound, under a pressing load.

All requests of a fleet want one target that has just become cold. Each way is
played over the same requests; what counts is the busiest second, which must
not pass the bound, and how many of the requests the target gets. ``--check``
fails where the way that serves passes the bound.

Entries' views differ in a part of the runs: a voter that has just started has
heard of a third of the entries only, and those that follow it share or draw
among these.
"""

import argparse
import hashlib
import random
import sys

import attrs

from chivepier.gateway.permits import ColdBound
from chivepier.gateway.permits import SlidingWindowLimiter

ENTRIES = 75
RATE = 31.0
BOUND = ColdBound(excess=1.5, slack=5.0)
# Requests a second that want the target: a rush of three times the usual.
WANTED = 90.0
SECONDS = 30.0
# Entries that are drawn for a target where only some may send.
DRAWN = 3
# Seconds by which a send arrives later than it was decided: usual, and where
# an entry stands still with it.
LATE, FROZEN = 0.01, 0.2


@attrs.frozen
class Request:
    """One request, and the entry that it came to."""

    at: float
    entry: int


@attrs.define
class Bucket:
    """Sends that one entry may decide on by itself."""

    rate: float
    most: float
    filled: float = 0.0
    at: float = 0.0

    def take(self, now: float) -> bool:
        """Take one send, if there is one."""
        self.filled = min(self.most, self.filled + self.rate * (now - self.at))
        self.at = now
        if self.filled < 1.0:
            return False
        self.filled -= 1.0
        return True


def share_equally(requests: list[Request], known: list[int]) -> list[float]:
    """Give each entry an equal part, and one send at first."""
    buckets = [Bucket(RATE / count, 1.0, 1.0) for count in known]
    return [r.at for r in requests if buckets[r.entry].take(r.at)]


def draw_entries(requests: list[Request], known: list[int]) -> list[float]:
    """Let a few entries send, drawn by hash among those that each knows."""
    buckets = {}
    for entry, count in enumerate(known):
        names = range(ENTRIES) if count == ENTRIES else _list_known(entry)
        if entry in sorted(names, key=_hash)[:DRAWN]:
            part = RATE / DRAWN
            buckets[entry] = Bucket(part, part, part)
    return [
        r.at
        for r in requests
        if r.entry in buckets and buckets[r.entry].take(r.at)
    ]


def ask_leader(requests: list[Request], known: list[int]) -> list[float]:
    """Ask for leave for each send, as the code that serves does."""
    ledger = SlidingWindowLimiter()
    most = BOUND.get_max_sends(RATE)
    return [r.at for r in requests if ledger.acquire("cold", most, r.at)]


WAYS = {
    "equal parts": share_equally,
    "a few entries drawn": draw_entries,
    "leave of the leader": ask_leader,
}


def _list_known(entry: int) -> list[int]:
    return [e for e in range(ENTRIES) if e % 3 == entry % 3]


def _hash(entry: int) -> bytes:
    return hashlib.blake2b(f"cold/{entry}".encode()).digest()


def count_busiest(moments: list[float]) -> int:
    """Count the sends of the busiest second."""
    moments = sorted(moments)
    busiest = first = 0
    for last, moment in enumerate(moments):
        while moment - moments[first] >= 1.0:
            first += 1
        busiest = max(busiest, last - first + 1)
    return busiest


def play(way, seed: int, alike: bool) -> tuple[int, float]:
    """Play one way.

    :param way: decides which requests are sent
    :param seed: of the requests
    :param alike: whether all entries know of the same entries
    :returns: sends of the busiest second, and sends a second
    """
    rng = random.Random(seed)
    requests, at = [], 0.0
    while (at := at + rng.expovariate(WANTED)) < SECONDS:
        requests.append(Request(at, rng.randrange(ENTRIES)))
    known = [
        ENTRIES if alike or entry % 4 else ENTRIES // 3
        for entry in range(ENTRIES)
    ]
    sent = way(requests, known)
    arrived = [at + rng.choice((LATE, LATE, LATE, FROZEN)) for at in sent]
    return count_busiest(arrived), len(sent) / SECONDS


def main() -> None:
    """Print each way, and check the one that serves."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true")
    check = parser.parse_args().check
    most = BOUND.get_max_sends(RATE)
    print(f"bound {most} in a second, {WANTED:.0f} wanted, {ENTRIES} entries")
    worst = 0
    for name, way in WAYS.items():
        for alike in (True, False):
            runs = [play(way, seed, alike) for seed in range(20)]
            busiest = max(run[0] for run in runs)
            mean = sum(run[1] for run in runs) / len(runs)
            views = "alike" if alike else "differ"
            print(f"{name}, views {views}: {busiest} busiest, {mean:.1f}/s")
            if way is ask_leader:
                worst = max(worst, busiest)
    if check and worst > most:
        sys.exit(f"{worst} sends in a second")


if __name__ == "__main__":
    main()
