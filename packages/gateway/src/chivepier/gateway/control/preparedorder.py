"""An operator's zone order, before it is committed."""

import attrs


@attrs.frozen
class PreparedOrder:
    """A zone order and the log state known to its receiver on arrival.

    :param zone: name of the availability zone
    :param evacuated: whether no new requests may be sent to the zone
    :param base_index: log index of the zone's last known order, 0 for none
    :param received_at: time of arrival, in monotonic seconds
    """

    zone: str
    evacuated: bool
    base_index: int
    received_at: float
