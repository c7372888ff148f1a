"""What another voter tells of its entries."""

import attrs

from chivepier.gateway.control.loadstate import LoadState


@attrs.define
class PeerLoads:
    """What another voter told, and when it was last heard."""

    last_heard: float
    loads: LoadState = attrs.field(factory=LoadState)
