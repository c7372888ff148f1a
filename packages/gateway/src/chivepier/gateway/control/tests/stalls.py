"""Simulated process stalls, as caused by an overloaded machine."""

import random

import attrs


@attrs.define
class Stalls:
    """Draws random start times and durations of stalls.

    :param seed: seed of the random numbers
    :param mean_gap: mean time between two stalls, in seconds
    :param max_seconds: maximum duration of a stall, in seconds
    :param total: total duration of all stalls so far, in seconds
    """

    seed: int
    mean_gap: float
    max_seconds: float
    total: float = 0.0
    _random: random.Random = attrs.field(init=False)
    _next_start: float | None = attrs.field(init=False, default=None)

    def __attrs_post_init__(self) -> None:
        self._random = random.Random(self.seed)

    def find_delay(self, now: float) -> float:
        """Return the duration of a stall at the given time, in seconds.

        :param now: simulated time, in seconds
        """
        if self._next_start is None:
            self._next_start = now + self._random.expovariate(
                1 / self.mean_gap
            )
        if now < self._next_start:
            return 0.0
        seconds = self._random.uniform(0.0, self.max_seconds)
        self._next_start = (
            now + seconds + self._random.expovariate(1 / self.mean_gap)
        )
        self.total += seconds
        return seconds
