"""The ConfigNotice message."""

from chivepier.messages.registry import message


@message(162)
class ConfigNotice:
    """A voter holds a configuration of this version."""

    version: int
