"""Settings of a voter."""

import collections.abc
import pathlib

import attrs

from chivepier.gateway.settings.instancelimits import InstanceLimits


@attrs.frozen(kw_only=True)
class VoterSettings:
    """Settings that a voter reads at its start.

    :param name: name of this instance
    :param address: address at which peers reach it, as ``ip:port``
    :param seeds: peer addresses of instances that may be voters
    :param folder: directory for persistent data
    :param found: whether to bootstrap a new system
    :param cluster_key: key with which peers authenticate each other
    :param beat: seconds between a target's announcements
    :param zone: its availability zone
    :param regions: regions of the availability zones, by zone name
    :param tolerated_losses: how many disks may be lost at the same time;
        ``None`` for as many as the voters bear
    :param limits: limits of this instance
    """

    name: str
    address: str
    seeds: tuple[str, ...]
    folder: pathlib.Path
    found: bool
    cluster_key: str
    beat: float
    zone: str = ""
    regions: collections.abc.Mapping[str, str] = attrs.Factory(dict)
    tolerated_losses: int | None = None
    limits: InstanceLimits = InstanceLimits()
