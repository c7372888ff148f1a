"""Errors, the clock and other types that every package shares."""

from chivepier.types.bootclock import BootClock
from chivepier.types.clock import Clock
from chivepier.types.errorkind import ErrorKind
from chivepier.types.errorrule import ErrorRule
from chivepier.types.errortable import ERROR_TABLE
from chivepier.types.errortable import render_failure
from chivepier.types.errortable import render_headers
from chivepier.types.errortable import seconds_to_retry
from chivepier.types.failure import Failure
from chivepier.types.manualclock import ManualClock
from chivepier.types.ran import Ran
from chivepier.types.requesterror import RequestError
from chivepier.types.signal import Signal
from chivepier.types.systemclock import SystemClock
from chivepier.types.targetkind import TargetKind
from chivepier.types.texthash import hash_text
from chivepier.types.urgency import Urgency

__all__ = [
    "ERROR_TABLE",
    "BootClock",
    "Clock",
    "ErrorKind",
    "ErrorRule",
    "Failure",
    "ManualClock",
    "Ran",
    "RequestError",
    "Signal",
    "SystemClock",
    "TargetKind",
    "Urgency",
    "hash_text",
    "render_failure",
    "render_headers",
    "seconds_to_retry",
]
