"""Settings of an entry."""

import collections.abc

import attrs

from chivepier.gateway.quarantine import Overrides

# Of all bodies, where the memory of the instance isn't told.
DEFAULT_BODY_BYTES = 32 << 20


@attrs.frozen(kw_only=True)
class EntrySettings:
    """What one entry is told at its start.

    :param name: of this instance
    :param address: where callers reach it, as ``ip:port``
    :param zone: its availability zone
    :param seeds: peer addresses of instances that may be voters
    :param cluster_key: that peers show each other
    :param beat: seconds between a target's announcements
    :param repeat_ratio: repeats for each request, over all entries
    :param repeat_extra: repeats that are always allowed, over all entries
    :param repeat_window: in which both are counted, in seconds
    :param grace: seconds from the order to stop until it is killed
    :param body_bytes: that the bodies of all requests may take together
    :param regions: of the availability zones, by their names
    :param cold_excess: factor on the rate that a cold target bears
    :param cold_slack: requests in a second above that
    :param orders: requests that are let through or kept out
    """

    name: str
    address: str
    zone: str
    seeds: tuple[str, ...]
    cluster_key: str
    beat: float
    repeat_ratio: float
    repeat_extra: float
    repeat_window: float
    grace: float
    body_bytes: int = DEFAULT_BODY_BYTES
    orders: Overrides = Overrides()
    regions: collections.abc.Mapping[str, str] = attrs.Factory(dict)
    cold_excess: float = 1.0
    cold_slack: float = 0.0
