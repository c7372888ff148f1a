"""Roles of a voter."""

import enum


class Role(enum.Enum):
    """What a voter is at the moment."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"
