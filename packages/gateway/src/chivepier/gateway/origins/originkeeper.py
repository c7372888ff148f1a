"""The streams of which a voter keeps where they began."""

import collections.abc

from chivepier.gateway.messages import OriginAnswer
from chivepier.gateway.messages import OriginNotice
from chivepier.gateway.messages import OriginRequest
from chivepier.gateway.origins.originkey import OriginKey
from chivepier.gateway.origins.origintable import OriginTable
from chivepier.gateway.origins.records import pack_origin
from chivepier.gateway.origins.records import unpack_origin
from chivepier.types import Clock


class OriginKeeper:
    """Keeps origins for entries, which may end before their callers return.

    :param clock: source of monotonic time
    :param note_change: called when something has been added
    :ivar table: the origins
    """

    def __init__(
        self, clock: Clock, note_change: collections.abc.Callable[[], None]
    ):
        self.table = OriginTable()
        self._clock = clock
        self._note_change = note_change

    def receive(self, notice: OriginNotice) -> OriginNotice:
        """Keep what an entry tells, and confirm it."""
        now = self._clock.monotonic()
        for record in notice.records:
            self.table.put(unpack_origin(record, now), now)
        self._note_change()
        return OriginNotice(known=len(self.table))

    def answer(self, request: OriginRequest) -> OriginAnswer:
        """Tell an entry where a stream began, if that is known."""
        now = self._clock.monotonic()
        key = OriginKey(request.team, request.attempt)
        origin = self.table.find(key, now)
        if origin is None:
            return OriginAnswer()
        return OriginAnswer((pack_origin(origin, now),))
