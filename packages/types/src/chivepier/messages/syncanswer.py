"""The SyncAnswer message."""

from chivepier.messages.entry import Entry
from chivepier.messages.registry import message


@message(65)
class SyncAnswer:
    """Entries after the asked index, or a whole snapshot."""

    commit: int
    entries: tuple[Entry, ...]
    snapshot: bytes
