"""Targets as the policy sees them."""

from chivepier.messages import Announcement
from chivepier.policy import TargetView


def make_view(announcement: Announcement, fraction: float) -> TargetView:
    """Tell the policy what a target announced.

    :param announcement: what the target said
    :param fraction: the part of its capacity that may be used
    :returns: the target, with at least one stream
    """
    load = announcement.load
    return TargetView(
        target=announcement.target,
        address=announcement.address,
        zone=announcement.zone,
        models=frozenset(m.partition("@")[0] for m in announcement.models),
        adapters=frozenset(announcement.adapters),
        capacity_tokens=int(announcement.capacity_tokens * fraction),
        max_streams=max(1, int(announcement.max_streams * fraction)),
        leaving=announcement.leaving,
        running=load.running,
        waiting=load.waiting,
        used_tokens=load.used_tokens,
        preemptions=load.preemptions,
        cached=frozenset(announcement.cached),
    )
