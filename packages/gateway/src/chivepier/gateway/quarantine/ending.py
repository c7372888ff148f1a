"""Evidence that a target ended while it ran a request."""

import attrs

from chivepier.gateway.quarantine.incarnation import Incarnation


@attrs.frozen
class Ending:
    """The end of a target under a request, as one entry observed it.

    :param digest: digest of the request
    :param incarnation: incarnation of the target that ended
    :param seen: time of the observation, in this node's monotonic seconds
    :param source: name of the entry that observed it
    :param how: evidence, such as ``refused``, ``restarted`` or ``silent``
    :param team: team of the caller; empty if the route requires none
    :param software: service and software version of the target
    :param answering: whether the target had begun to answer the request
    :param parts: digests of the shared parts of its prompt that are not known
        to be sound
    """

    digest: str
    incarnation: Incarnation
    seen: float
    source: str
    how: str
    team: str = ""
    software: str = ""
    answering: bool = False
    parts: tuple[str, ...] = ()
