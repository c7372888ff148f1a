"""What an instance is short of."""

import enum


class Shortage(enum.Enum):
    """The limit that an instance is near to."""

    DESCRIPTORS = "descriptors"
    MEMORY = "memory"
