"""Settings of an entry."""

import collections.abc

import attrs

from chivepier.gateway.quarantine import Overrides
from chivepier.gateway.settings.instancelimits import InstanceLimits

# Memory limit for all request bodies if the instance's memory is unknown.
DEFAULT_BODY_BYTES = 32 << 20
# The same for all answers that are read whole.
DEFAULT_ANSWER_BYTES = 32 << 20


@attrs.frozen(kw_only=True)
class EntrySettings:
    """Settings that an entry reads at its start.

    :param name: name of this instance
    :param address: address at which callers reach it, as ``ip:port``
    :param zone: its availability zone
    :param seeds: peer addresses of instances that may be voters
    :param cluster_key: key with which peers authenticate each other
    :param beat: seconds between a target's announcements
    :param repeat_ratio: retries allowed per request, over all entries
    :param repeat_extra: retries that are always allowed, over all entries
    :param repeat_window: seconds within which both are counted
    :param grace: seconds from the stop order until the process is killed
    :param body_bytes: memory limit for all request bodies, in bytes
    :param keep_room: whether classes leave free room to more urgent ones,
        where they can wait
    :param answer_bytes: memory limit for all answers that are read whole, in
        bytes
    :param orders: operators' decisions to let through or block requests
    :param regions: regions of the availability zones, by zone name
    :param cold_excess: factor applied to the cold rate of a service
    :param cold_slack: requests per second allowed in addition
    :param limits: what this instance can do
    :param peer_address: address at which other entries reach it, as
        ``ip:port``; empty if they forward it nothing
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
    answer_bytes: int = DEFAULT_ANSWER_BYTES
    orders: Overrides = Overrides()
    keep_room: bool = False
    regions: collections.abc.Mapping[str, str] = attrs.Factory(dict)
    cold_excess: float = 1.0
    cold_slack: float = 0.0
    limits: InstanceLimits = InstanceLimits()
    peer_address: str = ""
