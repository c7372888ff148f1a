"""A pending check whether a target has ended."""

import asyncio

import attrs

from chivepier.gateway.quarantine.lostrequest import LostRequest
from chivepier.gateway.targets import Target


@attrs.define(eq=False)
class CrashCheck:
    """State of the check whether one incarnation of a target has ended.

    :param target: the target, as it was announced
    :param until: when the check gives up, in monotonic seconds
    :param ask_at: when the target is asked for by its name, in monotonic
        seconds; ``None`` while nothing is known to listen at its address
    :param lost: requests that were lost at the target
    :param watch: task that watches for silence of the target
    :param probe: task that probes the target
    """

    target: Target
    until: float
    ask_at: float | None = None
    lost: list[LostRequest] = attrs.field(factory=list)
    watch: asyncio.Task | None = None
    probe: asyncio.Task | None = None
