"""Conversion of targets' reports to messages and back."""

import math

from chivepier.gateway.messages import TargetReport
from chivepier.gateway.targets.invalidreport import InvalidReport
from chivepier.gateway.targets.reading import Reading
from chivepier.gateway.targets.reportedload import ReportedLoad

# Paces beyond these are errors of the reporting target, not of use.
MIN_PACE = 0.05
MAX_PACE = 50.0
# Requests at one target beyond which a count is an error, not a load.
MAX_COUNT = 1_000_000
# Milliseconds beyond which an age is an error: reports live for a second.
MAX_AGE_MS = 3_600_000


def is_plausible_pace(pace: float | None) -> bool:
    """Tell whether a target can have a pace.

    >>> [is_plausible_pace(pace) for pace in (1.7, 0.0, 1e9, None)]
    [True, False, False, False]
    """
    return pace is not None and MIN_PACE <= pace <= MAX_PACE


def pack_report(
    instance: str, born: int, reading: Reading, now: float
) -> TargetReport:
    """Convert a target's newest report to a message.

    :param instance: name of the target
    :param born: start of the incarnation that reported, in Unix milliseconds
    :param reading: its report
    :param now: current time, in monotonic seconds
    :returns: the message, with an age in place of a time
    """
    load = reading.load
    # rounded up, so that no report gets younger on its way
    age_ms = math.ceil(1000 * max(0.0, now - reading.at))
    pace = load.pace if is_plausible_pace(load.pace) else 0.0
    return TargetReport(
        instance,
        born,
        age_ms,
        load.running,
        load.waiting,
        load.slots,
        round(100 * pace),
    )


def unpack_report(report: TargetReport, now: float) -> Reading | InvalidReport:
    """Convert a message to a report with a time of this process.

    >>> unpack_report(TargetReport("t", 1, 50, 2, 0, 6, 250), now=9.0).at
    8.95
    >>> unpack_report(TargetReport("t", 1, 50, -2, 0, 6, 250), now=9.0)
    InvalidReport()

    :param report: the message
    :param now: when it arrived, in monotonic seconds
    :returns: the report, if its figures are possible
    """
    counts = (report.running, report.waiting, report.slots)
    pace = report.pace_percent
    if (
        not report.instance
        or report.born < 0
        or not 0 <= report.age_ms <= MAX_AGE_MS
        or not all(0 <= count <= MAX_COUNT for count in counts)
        or not report.slots
        or pace
        and not 100 * MIN_PACE <= pace <= 100 * MAX_PACE
    ):
        return InvalidReport()
    load = ReportedLoad(
        running=report.running,
        waiting=report.waiting,
        slots=report.slots,
        pace=pace / 100 if pace else None,
    )
    return Reading(load, now - report.age_ms / 1000)
