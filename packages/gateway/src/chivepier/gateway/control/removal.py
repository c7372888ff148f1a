"""Which voter to remove next."""

import attrs

from chivepier.gateway.control.removalreason import RemovalReason
from chivepier.messages import Voter


@attrs.frozen
class Removal:
    """A voter to be removed, or ``None``, and why."""

    voter: Voter | None
    reason: RemovalReason
