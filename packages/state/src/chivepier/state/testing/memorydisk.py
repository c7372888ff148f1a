"""What a crash leaves of a voter."""

import attrs

from chivepier.messages import Entry
from chivepier.state.snapshot import Snapshot


@attrs.define
class MemoryDisk:
    """The synced part of a storage in memory."""

    term: int = 0
    vote: str = ""
    snapshot: Snapshot = Snapshot()
    entries: tuple[Entry, ...] = ()
    refuses: bool = False
