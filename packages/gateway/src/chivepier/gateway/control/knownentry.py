"""An entry known to a voter."""

import attrs

from chivepier.gateway.messages import EntryBeat
from chivepier.wire import Channel


@attrs.define
class KnownEntry:
    """An entry's last beat, its channel and the time of receipt."""

    beat: EntryBeat
    channel: Channel
    last_heard: float
