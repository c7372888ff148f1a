"""Permission to send one request to one target."""

import attrs

from chivepier.gateway.config import Service

# Default lifetime of a permit: covers the delay of the answer and the
# reservation at the target.
PERMIT_SECONDS = 0.25
# Maximum lifetime, used if answers are slow. A new leader waits that long
# before it grants permits.
MAX_PERMIT_SECONDS = 1.0


@attrs.frozen
class Permit:
    """A permit that expires, so that the leader can grant it again.

    :param expires_at: monotonic time by which it must be used, in seconds;
        infinite for a target without limits
    :param unlimited: service of a target without limits; the permit ends
        once the target has any
    """

    expires_at: float = float("inf")
    unlimited: Service | None = None
