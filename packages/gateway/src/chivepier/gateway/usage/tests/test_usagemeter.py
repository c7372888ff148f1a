"""Tests of measuring what an instance uses."""

import attrs

from chivepier.gateway.settings import InstanceLimits
from chivepier.gateway.usage import AbilityReporter
from chivepier.gateway.usage import ProcessReader
from chivepier.gateway.usage import ROTATION_SECONDS
from chivepier.gateway.usage import Usage
from chivepier.gateway.usage import UsageMeter
from chivepier.types import ManualClock

LIMITS = InstanceLimits(
    cores=0.5, memory_bytes=100 << 20, link_mbps=7.5, descriptors=1000
)


@attrs.define
class FakeReader:
    """A process whose usage the test sets."""

    seconds: float = 0.0
    memory: int = 0
    descriptors: int = 0

    def read_processor_seconds(self) -> float:
        return self.seconds

    def read_memory_bytes(self) -> int:
        return self.memory

    def count_descriptors(self) -> int:
        return self.descriptors


def test_busy_figure_is_of_the_last_seconds_and_does_not_swing():
    # Guards against callers that move back and forth with each burst.
    clock, reader = ManualClock(), FakeReader()
    meter, told = UsageMeter(LIMITS, reader, clock), []
    for share in (0.1, 0.5, 0.81, 0.79, 0.81, 0.74):
        for _ in range(14):
            meter.measure()
            clock.advance(0.25)
            reader.seconds += share * 0.5 * 0.25
        told.append(meter.busy_percent)
    assert told == [0, 40, 80, 80, 80, 60]
    reader.memory, reader.descriptors = 95 << 20, 900
    usage = meter.measure()
    assert (usage.memory, usage.descriptors) == (0.95, 0.9)
    assert meter.busy_percent == 80


def test_unknown_limits_are_told_as_unknown():
    # Guards against shares of limits that nobody has set.
    reader = FakeReader(5.0, 1 << 30, 4000)
    meter = UsageMeter(InstanceLimits(), reader, ManualClock())
    assert meter.measure() == Usage() and meter.busy_percent == 0
    ability = AbilityReporter("e1", InstanceLimits(), meter).report(0.0)
    assert attrs.evolve(ability, rotation=0) == type(ability)()


def test_entries_rotate_one_after_the_other():
    # Guards against closing a third of all connections at one moment.
    meter = UsageMeter(LIMITS, FakeReader(), ManualClock())
    reporters = [AbilityReporter(f"e{n}", LIMITS, meter) for n in range(60)]
    at = [
        sum(r.report(float(s)).rotation for r in reporters) for s in range(81)
    ]
    steps = [later - before for before, later in zip(at, at[1:])]
    assert sum(steps) == 60 * 80 / ROTATION_SECONDS and max(steps) < 10


def test_process_is_read():
    # Guards against a kernel on which the reader finds nothing.
    reader = ProcessReader()
    assert reader.read_memory_bytes() > 1 << 20
    assert 2 < reader.count_descriptors() < 10_000
