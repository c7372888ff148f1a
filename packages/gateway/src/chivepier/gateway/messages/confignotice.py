"""The ConfigNotice message."""

from chivepier.messages.registry import message


@message(162)
class ConfigNotice:
    """Announces the version of a newly committed configuration."""

    version: int
