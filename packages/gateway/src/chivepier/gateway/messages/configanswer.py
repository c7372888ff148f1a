"""The ConfigAnswer message."""

from chivepier.messages.registry import message


@message(155)
class ConfigAnswer:
    """A configuration as it was sent; ``known`` is false when unsure."""

    known: bool
    version: int
    body: bytes
