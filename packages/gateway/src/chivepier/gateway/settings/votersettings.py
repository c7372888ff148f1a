"""Settings of a voter."""

import collections.abc
import pathlib

import attrs


@attrs.frozen(kw_only=True)
class VoterSettings:
    """What one voter is told at its start.

    :param name: of this instance
    :param address: where peers reach it, as ``ip:port``
    :param seeds: peer addresses of instances that may be voters
    :param folder: for what must survive
    :param found: whether the whole system starts for the first time
    :param cluster_key: that peers show each other
    :param beat: seconds between a target's announcements
    :param zone: its availability zone
    :param regions: of the availability zones, by their names
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
