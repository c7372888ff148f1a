"""A length distribution from hazards."""

import numpy

from chivepier.policy.buckets import BUCKETS
from chivepier.policy.buckets import find_bucket
from chivepier.policy.buckets import HORIZONS
from chivepier.policy.buckets import LOG_STARTS
from chivepier.policy.buckets import STARTS
from chivepier.policy.lengthprofile import LengthProfile

EDGES = numpy.array(STARTS, dtype=float)
LOG_EDGES = numpy.array(LOG_STARTS)
MIDDLES = (EDGES[:-1] + EDGES[1:] - 1) / 2
WIDTHS = numpy.diff(EDGES)
REACHED = numpy.log(MIDDLES[:, None] + numpy.array(HORIZONS)[None, :] + 1)
NEVER = -60.0


class LearnedProfile(LengthProfile):
    """Tables by bucket, made once from the hazard of each bucket.

    :param hazards: for each bucket, the chance to end in it once entered
    :param limit: the longest output allowed, in tokens
    """

    __slots__ = ("_log", "_mean", "_survive")

    def __init__(self, hazards: numpy.ndarray, limit: int = STARTS[-1]):
        steps = numpy.log(numpy.maximum(1.0 - hazards, 1e-9))
        log = numpy.concatenate(([0.0], numpy.cumsum(steps)))
        # else what little is left of the tail would weigh with lengths
        # that no output can have
        log[find_bucket(limit) + 1 :] = NEVER
        self._log = numpy.maximum(log, NEVER)
        reached = numpy.interp(REACHED, LOG_EDGES, self._log)
        chances = numpy.exp(reached - reached[:, :1])
        self._survive = [tuple(row) for row in chances.tolist()]
        self._mean = self._means().tolist()

    def _means(self) -> numpy.ndarray:
        alive = numpy.exp(self._log)
        areas = WIDTHS * (alive[:-1] + alive[1:]) / 2
        ahead = numpy.cumsum(areas[::-1])[::-1] - areas / 2
        middle = numpy.maximum((alive[:-1] + alive[1:]) / 2, 1e-30)
        return MIDDLES + numpy.minimum(ahead / middle, EDGES[-1])

    def survive(self, tokens: int) -> tuple[float, ...]:
        """Return the chances to reach each horizon."""
        return self._survive[find_bucket(tokens)]

    def expect(self, tokens: int) -> float:
        """Return the mean length of what has come so far."""
        return max(self._mean[find_bucket(tokens)], tokens + 1.0)

    def quantile(self, part: float, tokens: int = 0) -> float:
        """Return a quantile of the length."""
        here = numpy.interp(numpy.log(tokens + 1), LOG_EDGES, self._log)
        wanted = here + numpy.log(max(1.0 - part, 1e-12))
        place = numpy.searchsorted(-self._log, -wanted)
        place = min(max(int(place), 1), BUCKETS)
        high, low = self._log[place - 1], self._log[place]
        step = 1.0 if high <= low else 0.0
        if high > low:
            step = min(1.0, max(0.0, (high - wanted) / (high - low)))
        log = LOG_EDGES[place - 1]
        log += step * (LOG_EDGES[place] - LOG_EDGES[place - 1])
        return float(numpy.exp(log) - 1)
