"""Measures how much of an instance's limits is used."""

import collections

from chivepier.gateway.settings import InstanceLimits
from chivepier.gateway.usage.processreader import ProcessReader
from chivepier.gateway.usage.usage import Usage
from chivepier.types import Clock

# Seconds over which processor time is averaged: longer than a burst of some
# requests, shorter than a rush.
WINDOW_SECONDS = 3.0
# Step of the told figure, in percent.
BUSY_STEP = 20
# Percent below a step at which it is left: a figure that swings around a step
# would move callers back and forth.
BUSY_MARGIN = 5


class UsageMeter:
    """Measures the usage of this process at each call of :meth:`measure`.

    :param limits: what the instance can do
    :param reader: reads what the process uses
    :param clock: monotonic clock
    """

    def __init__(
        self, limits: InstanceLimits, reader: ProcessReader, clock: Clock
    ):
        self._limits = limits
        self._reader = reader
        self._clock = clock
        self._samples: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        self.usage = Usage()
        self.busy_percent = 0

    def measure(self) -> Usage:
        """Measure the usage and return it."""
        limits, reader = self._limits, self._reader
        self.usage = Usage(
            self._measure_processor(),
            _divide(reader.read_memory_bytes(), limits.memory_bytes),
            _divide(reader.count_descriptors(), limits.descriptors),
        )
        self.busy_percent = _step(
            100 * max(self.usage.processor, self.usage.memory),
            self.busy_percent,
        )
        return self.usage

    def _measure_processor(self) -> float:
        now = self._clock.monotonic()
        used = self._reader.read_processor_seconds()
        self._samples.append((now, used))
        while now - self._samples[0][0] > WINDOW_SECONDS:
            self._samples.popleft()
        since, used_before = self._samples[0]
        cores = self._limits.usable_cores
        return _divide(used - used_before, cores * (now - since))


def _divide(used: float, limit: float) -> float:
    return used / limit if limit > 0 else 0.0


def _step(percent: float, before: int) -> int:
    """Round down to a step, and leave a step only with a margin.

    >>> _step(81.0, 60), _step(78.0, 80), _step(74.0, 80)
    (80, 80, 60)
    """
    if before <= percent + BUSY_MARGIN and percent < before:
        return before
    return min(100, BUSY_STEP * int(percent / BUSY_STEP))
