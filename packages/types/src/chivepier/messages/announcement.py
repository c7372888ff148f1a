"""The Announcement message."""

from chivepier.messages.registry import message
from chivepier.messages.targetload import TargetLoad


@message(89)
class Announcement:
    """What a target says of itself."""

    target: str
    incarnation: int
    sequence: int
    kind: str
    pool: str
    address: str
    zone: str
    models: tuple[str, ...]
    adapters: tuple[str, ...]
    role: str
    checks_fence: bool
    capacity_tokens: int
    max_streams: int
    load: TargetLoad
    cached: tuple[int, ...]
    leaving: bool
