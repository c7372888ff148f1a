"""What is not known yet of a lost request."""

import asyncio

import attrs

from chivepier.gateway.quarantine.lostrequest import LostRequest
from chivepier.gateway.targets import Target


@attrs.define(eq=False)
class CrashCheck:
    """What is not known yet about one life of a target."""

    target: Target
    until: float
    lost: list[LostRequest] = attrs.field(factory=list)
    watch: asyncio.Task | None = None
    probe: asyncio.Task | None = None
