"""An operator's order as it came to a voter."""

import attrs


@attrs.frozen
class PreparedOrder:
    """An order, and what its receiver knew when it came.

    :param zone: the availability zone
    :param evacuated: whether nothing new may be sent there from now on
    :param base: log index of the zone's last order as it was known
    :param arrived: in monotonic seconds
    """

    zone: str
    evacuated: bool
    base_index: int
    received_at: float
