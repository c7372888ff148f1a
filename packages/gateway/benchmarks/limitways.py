"""Ways to keep to the rate that a target in need names, over all entries.

More requests want the target than it takes. Each way is played over the same
requests, half of which come to one entry; what counts is the busiest four
seconds, and how much of what the target takes it gets. ``--check`` fails where
the way that serves passes the named rate by more than one request and what
comes late.
"""

import argparse
import random
import sys

import attrs

from chivepier.gateway.permits import Claim
from chivepier.gateway.permits import FairScheduler
from chivepier.gateway.permits import FallbackLimiter

RATE = 1.5
# Requests a second that want the target.
WANTED = 20.0
SECONDS = 60.0
WINDOW_SECONDS = 4.0
SIZES = (1, 7, 75, 191)
SEEDS = range(10)
# Part of the requests that comes to one entry.
UNEVEN = 0.5
# Seconds until entries know what the others sent, and how often a word of
# that is lost.
TOLD_SECONDS, LOST = 0.04, 0.02
# Seconds by which a send arrives later than it was decided.
LATE_SECONDS = (0.01, 0.01, 0.01, 0.2)


@attrs.frozen
class Request:
    """One request, and the entry that it came to."""

    at: float
    entry: int


def keep_alone(requests: list[Request], entries: int) -> list[float]:
    """Let each entry keep to the rate by itself."""
    parts = [FallbackLimiter(random.Random(n)) for n in range(entries)]
    for part in parts:
        part.reset(1)
    return _claim(requests, parts)


def share_equally(requests: list[Request], entries: int) -> list[float]:
    """Give each entry an equal part, as serves without a leader."""
    parts = [FallbackLimiter(random.Random(n)) for n in range(entries)]
    for part in parts:
        part.reset(entries)
    return _claim(requests, parts)


def _claim(
    requests: list[Request], parts: list[FallbackLimiter]
) -> list[float]:
    return [
        r.at
        for r in requests
        if parts[r.entry].acquire("i1", RATE, Claim(), r.at).granted
    ]


def count_others(requests: list[Request], entries: int) -> list[float]:
    """Let each entry send while what it knows of all sends allows it."""
    rng = random.Random(1)
    known: list[list[float]] = [[] for _ in range(entries)]
    coming: list[tuple[float, int, float]] = []
    sent = []
    for request in requests:
        for told in [t for t in coming if t[0] <= request.at]:
            known[told[1]].append(told[2])
        coming = [t for t in coming if t[0] > request.at]
        since = request.at - WINDOW_SECONDS
        seen = [at for at in known[request.entry] if at > since]
        known[request.entry] = seen
        if len(seen) >= RATE * WINDOW_SECONDS:
            continue
        sent.append(request.at)
        seen.append(request.at)
        coming += [
            (request.at + TOLD_SECONDS, entry, request.at)
            for entry in range(entries)
            if entry != request.entry and rng.random() >= LOST
        ]
    return sent


def ask_leader(requests: list[Request], entries: int) -> list[float]:
    """Ask for a turn for each send, as the code that serves does."""
    turns, claim = FairScheduler(random.Random(1)), Claim(max_wait=0.06)
    pauses: dict[int, float] = {}
    sent = []
    for request in requests:
        if request.at < pauses.get(request.entry, 0.0):
            continue
        turn = turns.acquire("i1", RATE, claim, request.at, -10.0)
        if turn.granted:
            sent.append(request.at + turn.wait)
        else:
            pauses[request.entry] = request.at + turn.wait
    return sent


WAYS = {
    "each entry alone": keep_alone,
    "equal parts": share_equally,
    "each other's counts": count_others,
    "turns of the leader": ask_leader,
}


def count_busiest(moments: list[float]) -> int:
    """Count the sends of the busiest window."""
    moments = sorted(moments)
    busiest = first = 0
    for last, moment in enumerate(moments):
        while moment - moments[first] >= WINDOW_SECONDS:
            first += 1
        busiest = max(busiest, last - first + 1)
    return busiest


def play(way, entries: int, seed: int) -> tuple[int, float]:
    """Play one way.

    :param way: decides which requests are sent
    :param entries: how many there are
    :param seed: of the requests
    :returns: sends of the busiest window, and sends a second
    """
    rng = random.Random(seed)
    requests, at = [], 0.0
    while (at := at + rng.expovariate(WANTED)) < SECONDS:
        uneven = rng.random() < UNEVEN
        entry = 0 if uneven else rng.randrange(entries)
        requests.append(Request(at, entry))
    sent = way(requests, entries)
    arrived = [at + rng.choice(LATE_SECONDS) for at in sent]
    return count_busiest(arrived), len(sent) / SECONDS


def main() -> None:
    """Print each way, and check the one that serves."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true")
    check = parser.parse_args().check
    print(f"{RATE} a second named, {WANTED:.0f} wanted")
    worst = 0
    for name, way in WAYS.items():
        for entries in SIZES:
            runs = [play(way, entries, seed) for seed in SEEDS]
            busiest = max(run[0] for run in runs)
            mean = sum(run[1] for run in runs) / len(runs)
            print(f"{name}, {entries}: {busiest} busiest, {mean:.2f}/s")
            if way is ask_leader:
                worst = max(worst, busiest)
    most = RATE * (WINDOW_SECONDS + max(LATE_SECONDS)) + 1
    if check and worst > most:
        sys.exit(f"{worst} sends in {WINDOW_SECONDS} s")


if __name__ == "__main__":
    main()
