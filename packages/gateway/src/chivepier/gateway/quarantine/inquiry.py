"""What is not known yet of a lost request."""

import asyncio

import attrs

from chivepier.gateway.quarantine.loss import Loss
from chivepier.gateway.targets import Target


@attrs.define(eq=False)
class Inquiry:
    """What is not known yet about one life of a target."""

    target: Target
    until: float
    losses: list[Loss] = attrs.field(factory=list)
    watch: asyncio.Task | None = None
    look: asyncio.Task | None = None
