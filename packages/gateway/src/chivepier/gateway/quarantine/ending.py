"""A target that ended while it ran a request."""

import attrs

from chivepier.gateway.quarantine.incarnation import Incarnation


@attrs.frozen
class Ending:
    """What one entry saw.

    :param digest: the request's
    :param life: of the target
    :param seen: when it was seen, in this node's monotonic seconds
    :param source: the entry that saw it
    :param how: what showed that the target had ended
    """

    digest: str
    incarnation: Incarnation
    seen: float
    source: str
    how: str
