"""Planning arrivals from a seed."""

import collections.abc
import random

from chivepier.load.arrival import Arrival
from chivepier.load.teamload import TeamLoad


def plan_arrivals(
    loads: collections.abc.Iterable[TeamLoad], seconds: float, seed: int
) -> list[Arrival]:
    """Draw all arrivals in advance, so that no answer delays the next.

    >>> load = TeamLoad(team="a", key="k", template="t", rate=5)
    >>> plan_arrivals([load], 2, 1) == plan_arrivals([load], 2, 1)
    True

    :param loads: what each team asks for
    :param seconds: length of the run
    :param seed: the same seed gives the same plan
    :returns: arrivals in order of time
    """
    drawn = []
    for load in loads:
        rng = random.Random(f"{seed}/{load.team}/{load.template}")
        drawn += [(at, load, rng) for at in _draw_times(load, seconds, rng)]
    drawn.sort(key=lambda item: item[0])
    return [
        Arrival(at, number, load, _draw_length(load, rng))
        for number, (at, load, rng) in enumerate(drawn)
    ]


def _draw_times(
    load: TeamLoad, seconds: float, rng: random.Random
) -> list[float]:
    times = []
    at = 0.0
    while True:
        in_burst = seconds / 3 <= at < seconds * 2 / 3
        rate = load.rate * (load.burst if in_burst else 1.0)
        at += rng.expovariate(rate)
        if at >= seconds:
            return times
        times.append(at)


def _draw_length(load: TeamLoad, rng: random.Random) -> int:
    factor = rng.lognormvariate(0.0, load.sigma)
    return max(1, min(load.longest, round(load.median * factor)))
