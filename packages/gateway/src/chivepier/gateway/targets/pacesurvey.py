"""The paces of the targets of a service at one moment."""

import functools
import statistics

import attrs


@attrs.frozen(kw_only=True)
class PaceSurvey:
    """What the targets of a service report of their paces.

    A target that reports none counts with the typical pace of the others.

    >>> survey = PaceSurvey(paces={"a": 0.7, "b": 0.7, "c": 1.7})
    >>> survey.get_pace("c"), survey.get_pace("new")
    (1.7, 0.7)
    >>> PaceSurvey().get_pace("a")
    1.0

    :param paces: lowest reported pace of each target that reports one
    :param peak: how many times slower targets get at times than they can be
    """

    paces: dict[str, float] = attrs.Factory(dict)
    peak: float = 1.0

    @functools.cached_property
    def lowest(self) -> float:
        """Pace of the fastest target; 1.0 if none is known."""
        return min(self.paces.values(), default=1.0)

    @functools.cached_property
    def highest(self) -> float:
        """Pace of the slowest target; 1.0 if none is known."""
        return max(self.paces.values(), default=1.0)

    @functools.cached_property
    def typical(self) -> float:
        """Median pace; 1.0 if none is known."""
        if not self.paces:
            return 1.0
        return statistics.median_low(self.paces.values())

    def get_pace(self, instance: str) -> float:
        """Return the pace of a target without the work of others."""
        return self.paces.get(instance, self.typical)

    def get_relative_pace(self, instance: str) -> float:
        """Return the pace of a target relative to the fastest one."""
        return self.get_pace(instance) / self.lowest
