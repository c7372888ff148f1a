"""Kinds of target."""

import enum


class TargetKind(enum.Enum):
    """What stands behind a target's address."""

    ENGINE = "engine"
    SERVICE = "service"
