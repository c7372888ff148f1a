"""The TargetNotice message."""

from chivepier.gateway.messages.targetrecord import TargetRecord
from chivepier.messages.registry import message


@message(151)
class TargetNotice:
    """Pushes targets that have changed."""

    records: tuple[TargetRecord, ...]
