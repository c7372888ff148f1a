"""The EntryBeatAnswer message."""

from chivepier.gateway.messages.targetrecord import TargetRecord
from chivepier.messages.registry import message


@message(153)
class EntryBeatAnswer:
    """What an entry lacks.

    ``voters`` are the peer addresses of the voters; ``entries`` is how many
    entries are alive, for shares of common budgets.
    """

    epoch: str
    revision: int
    version: int
    entries: int
    voters: tuple[str, ...]
    records: tuple[TargetRecord, ...]
