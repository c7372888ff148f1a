"""The InflightReport message."""

from chivepier.messages.inflightpermit import InflightPermit
from chivepier.messages.registry import message


@message(86)
class InflightReport:
    """What an entry has in flight in a shard, for a new owner."""

    entry: str
    pool: str
    shard: int
    permits: tuple[InflightPermit, ...]
