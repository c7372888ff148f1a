"""How far a scenario's results are from what is aimed at."""

import attrs

from chivepier.policy.benchmarks.measures import Measures
from chivepier.policy.benchmarks.runner import BLIND
from chivepier.policy.benchmarks.runner import ORACLE
from chivepier.policy.benchmarks.runner import OURS
from chivepier.policy.benchmarks.runner import SIMPLE

LEAST = 1e-9


@attrs.frozen
class Aim:
    """One aim: what was measured against its limit.

    ``value`` is a ratio or a part; ``most`` tells whether the limit is an
    upper one.
    """

    name: str
    value: float
    limit: float
    most: bool = True

    @property
    def met(self) -> bool:
        """Whether the value is within the limit."""
        if self.most:
            return self.value <= self.limit
        return self.value >= self.limit


def compare_aims(results: dict[str, Measures]) -> list[Aim]:
    """Compare ours with the best simple policy for each measure.

    :param results: measures of one scenario, by policy
    :returns: the aims
    """
    ours = results[OURS]
    simple = [results[name] for name in SIMPLE]
    return _against("", ours, simple) + [
        Aim("share error", ours.share_error, 0.05),
        _ratio("stall p99 / oracle", _stall, ours, [results[ORACLE]], 1.25),
        _ratio("stall p99 / no-lengths", _stall, ours, [results[BLIND]], 0.5),
        _ratio(
            "preemptions / no-lengths",
            _preemptions,
            ours,
            [results[BLIND]],
            0.25,
        ),
    ]


def _against(suffix: str, ours: Measures, others) -> list[Aim]:
    best = max(other.total.goodput for other in others)
    return [
        _ratio(f"stall p99{suffix}", _stall, ours, others, 0.5),
        _ratio(f"preemptions{suffix}", _preemptions, ours, others, 0.25),
        _ratio(f"ITL p99{suffix}", _itl, ours, others, 0.8),
        Aim(f"goodput{suffix}", ours.total.goodput / best, 0.97, False),
    ]


def _ratio(name, measure, ours, others, limit) -> Aim:
    value = measure(ours)
    best = min(measure(other) for other in others)
    ratio = 0.0 if value <= LEAST else value / max(best, LEAST)
    return Aim(name, ratio, limit)


def _stall(measures: Measures) -> float:
    return measures.total.stall_p99


def _preemptions(measures: Measures) -> float:
    return measures.total.preemptions


def _itl(measures: Measures) -> float:
    return measures.total.itl[2]


def compare_surge(calm: Measures, surge: Measures) -> list[Aim]:
    """Tell what a surge of one team does to each other team's stall.

    :param calm: without the surge
    :param surge: with it; the other teams' calls are the same
    :returns: the aim for all others together, and for the worst team
    """
    moved = []
    for before, after in zip(calm.others, surge.others):
        if before.calls >= 20:
            moved.append(after.stall_p99 / max(before.stall_p99, LEAST) - 1)
    together = surge.victims.stall_p99 / calm.victims.stall_p99 - 1
    return [
        Aim("others' stall p99 moves", together, 0.1),
        Aim("worst team's stall p99 moves", max(moved), 0.1),
    ]
