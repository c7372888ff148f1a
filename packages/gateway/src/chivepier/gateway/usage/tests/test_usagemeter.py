"""Tests of measuring what an instance uses."""

from unittest import mock

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


def make_meter(limits, **usage) -> tuple[UsageMeter, mock.Mock, ManualClock]:
    """Make a meter of a process whose usage the test sets."""
    fields = {
        "read_processor_seconds": 0.0,
        "read_memory_bytes": 0,
        "count_descriptors": 0,
    }
    reader, clock = mock.Mock(), ManualClock()
    for name, value in {**fields, **usage}.items():
        getattr(reader, name).return_value = value
    return UsageMeter(limits, reader, clock), reader, clock


def test_busy_figure_is_of_the_last_seconds_and_does_not_swing():
    # Guards against callers that move back and forth with each burst.
    meter, reader, clock = make_meter(LIMITS)
    told = []
    for share in (0.1, 0.5, 0.81, 0.79, 0.81, 0.74):
        for _ in range(14):
            meter.measure()
            clock.advance(0.25)
            reader.read_processor_seconds.return_value += share * 0.5 / 4
        told.append(meter.busy_percent)
    assert told == [0, 40, 80, 80, 80, 60]


def test_unknown_limits_are_told_as_unknown():
    # Guards against shares of limits that nobody has set.
    used = {"read_memory_bytes": 95 << 20, "count_descriptors": 900}
    assert make_meter(LIMITS, **used)[0].measure() == Usage(0.0, 0.95, 0.9)
    meter, _, _ = make_meter(InstanceLimits(), **used)
    assert meter.measure() == Usage() and meter.busy_percent == 0
    ability = AbilityReporter("e1", InstanceLimits(), meter).report(0.0)
    assert attrs.evolve(ability, rotation=0) == type(ability)()


def test_entries_rotate_one_after_the_other():
    # Guards against closing a third of all connections at one moment.
    meter, _, _ = make_meter(LIMITS)
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
