"""Draw among targets by reports that are out of date."""

import collections.abc
import operator
import random

from chivepier.gateway.targets.drawoption import DrawOption

# Difference of costs, in full targets, at which the dearer one gets nothing:
# as much as all entries send while a report is on its way.
SPREAD = 2.0
# Seconds after which reports say nothing of which target has less to do: by
# then, most of what they counted has ended.
FADE_SECONDS = 0.4
# Least chance of a target, relative to the cheapest one: its report may be of
# a moment that has passed.
MIN_WEIGHT = 0.02


def draw_by_reports(
    options: collections.abc.Sequence[DrawOption], rng: random.Random
) -> int:
    """Draw a target, the likelier the less it has to do.

    All entries hold the same late reports: if each took the least loaded
    target, or drew among the few that are next to it, all would meet there
    until the next report. What an entry has at a target itself is known
    without delay, and goes first; the older a report, the less it counts.

    >>> idle = DrawOption(own=0, requests=0, slots=6)
    >>> full = DrawOption(own=0, requests=6, slots=6)
    >>> rng = random.Random(1)
    >>> sum(draw_by_reports([idle, full], rng) for _ in range(900))
    315

    :param options: what is known of each target; at least one
    :param rng: random source
    :returns: index of the drawn target
    """
    fewest = min(option.own for option in options)
    places = [n for n, option in enumerate(options) if option.own == fewest]
    best = min(
        (options[place] for place in places), key=operator.attrgetter("cost")
    )
    weights = [_weigh(options[place], best) for place in places]
    return rng.choices(places, weights)[0]


def _weigh(option: DrawOption, best: DrawOption) -> float:
    trust = max(0.0, 1.0 - max(option.age, best.age) / FADE_SECONDS)
    return max(MIN_WEIGHT, 1.0 - trust * (option.cost - best.cost) / SPREAD)
