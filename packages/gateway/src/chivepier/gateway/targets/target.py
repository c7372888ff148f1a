"""One target instance, as this node knows it."""

import attrs

from chivepier.gateway.targets.targetstate import TargetState


@attrs.define(kw_only=True)
class Target:
    """A target's latest announcement.

    :param instance: its name, which it may keep over a restart
    :param born: Unix milliseconds of its start; with the name it tells one
        life of a target from the next. 0: it does not tell
    :param number: orders the announcements of one life
    :param heard: when it was last known to live, in monotonic seconds
    :param said: when it made this announcement, in monotonic seconds
    :param warm_at: when it works at full speed, in monotonic seconds
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
    announced_at: float = attrs.Factory(
        lambda self: self.heard, takes_self=True
    )
