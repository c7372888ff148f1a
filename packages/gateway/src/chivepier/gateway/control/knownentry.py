"""An entry that a voter hears."""

import attrs

from chivepier.gateway.messages import EntryBeat
from chivepier.wire import Channel


@attrs.define
class KnownEntry:
    """An entry, its last word, and when that came, in monotonic seconds."""

    beat: EntryBeat
    channel: Channel
    last_heard: float
