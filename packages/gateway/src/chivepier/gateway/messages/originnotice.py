"""The OriginNotice message."""

from chivepier.gateway.messages.originrecord import OriginRecord
from chivepier.messages.registry import message


@message(186)
class OriginNotice:
    """Tells a voter where streams of an entry began.

    ``known`` is the number of streams of which the voter knows it, in its
    answer, which carries no records.
    """

    records: tuple[OriginRecord, ...] = ()
    known: int = 0
