"""The OriginAnswer message."""

from chivepier.gateway.messages.originrecord import OriginRecord
from chivepier.messages.registry import message


@message(188)
class OriginAnswer:
    """Answer to an :class:`OriginRequest`; empty if nothing is known."""

    records: tuple[OriginRecord, ...] = ()
