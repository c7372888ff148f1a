"""An operator's last order about an availability zone."""

import attrs


@attrs.frozen
class ZoneOrder:
    """Whether a zone's targets get nothing new.

    :param zone: its name
    :param index: of the order in the replicated log; a later one counts
    :param evacuated: whether nothing new may be sent there
    :param since: when it was committed, as far as this node knows, in its
        monotonic seconds
    """

    zone: str
    index: int
    evacuated: bool
    since: float
