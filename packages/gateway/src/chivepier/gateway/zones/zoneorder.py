"""An operator's order to evacuate or readmit an availability zone."""

import attrs


@attrs.frozen
class ZoneOrder:
    """The last committed order about an availability zone.

    :param zone: name of the zone
    :param index: index of the order in the replicated log; the highest wins
    :param evacuated: whether no new requests may be sent to the zone
    :param since: when it was committed, as far as this node knows, in this
        node's monotonic seconds
    """

    zone: str
    index: int
    evacuated: bool
    since: float
