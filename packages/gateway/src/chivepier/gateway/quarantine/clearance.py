"""A request that was answered whole."""

import attrs


@attrs.frozen
class Clearance:
    """What one entry saw of a request that targets had ended under.

    :param digest: the request's
    :param seen: when it was answered, in this node's monotonic seconds
    :param source: the entry that saw it
    """

    digest: str
    seen: float
    source: str
