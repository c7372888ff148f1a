"""Load data received from another voter."""

import attrs

from chivepier.gateway.control.loadstate import LoadState


@attrs.define
class PeerLoads:
    """Loads of another voter's entries and the time of its last digest."""

    last_heard: float
    loads: LoadState = attrs.field(factory=LoadState)
