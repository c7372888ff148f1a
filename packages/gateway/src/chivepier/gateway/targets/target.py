"""A target instance as known to this node."""

import attrs

from chivepier.gateway.targets.targetstate import TargetState


@attrs.define(kw_only=True)
class Target:
    """Holds the latest announcement of a target.

    :param instance: name of the target, which may survive a restart
    :param born: start of the target in Unix milliseconds; together with the
        name it identifies one incarnation; 0 if the target does not report it
    :param number: sequence number of the announcement in its incarnation
    :param heard: monotonic time at which it was last known alive, in seconds
    :param warm_at: monotonic time from which on it runs at full speed, in
        seconds
    :param software_version: version of its software, which has no order and
        is not that of its weights; empty if it is not known
    :param announced_at: monotonic time of this announcement, in seconds
    """

    instance: str
    service: str
    address: str
    zone: str
    state: TargetState
    number: int
    slots: int
    heard: float
    warm_at: float = 0.0
    born: int = 0
    software_version: str = ""
    announced_at: float = attrs.Factory(
        lambda self: self.heard, takes_self=True
    )
