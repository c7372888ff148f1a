"""One combination of the ways in which an answer can end."""

import attrs

from chivepier.gateway.serving.tests.endways import Entry
from chivepier.gateway.serving.tests.endways import Exclusion
from chivepier.gateway.serving.tests.endways import Framing
from chivepier.gateway.serving.tests.endways import Incarnation
from chivepier.gateway.serving.tests.endways import Manner
from chivepier.gateway.serving.tests.endways import Others
from chivepier.gateway.serving.tests.endways import Path
from chivepier.gateway.serving.tests.endways import Place
from chivepier.gateway.serving.tests.endways import Reply
from chivepier.gateway.serving.tests.endways import Status

GONE = (Incarnation.ENDED, Incarnation.LIKE, Incarnation.SERVICE)
# The reply that stands for all where nobody is asked.
STAND_IN = Reply.HANGS


@attrs.frozen
class EndCell:
    """How one answer ends, and what surrounds its end."""

    framing: Framing
    place: Place
    manner: Manner
    path: Path
    incarnation: Incarnation
    reply: Reply
    others: Others
    entry: Entry
    status: Status = Status.SUCCESS

    def __str__(self) -> str:
        return ", ".join(way.name for way in attrs.astuple(self))

    @property
    def streams(self) -> bool:
        """Whether the answer consists of events."""
        return self.path.streams and self.status is Status.SUCCESS

    @property
    def ends_as_framed(self) -> bool:
        """Whether the body's length or last chunk was read."""
        if self.place is not Place.AFTER_LAST:
            return False
        if self.framing is Framing.CHUNKS:
            return self.manner is Manner.ORDERLY
        return self.framing is Framing.LENGTH

    @property
    def needs_word(self) -> bool:
        """Whether nothing that was read tells if the answer is whole."""
        if self.framing is not Framing.NONE:
            return False
        if self.manner is not Manner.ORDERLY:
            return False
        if self.streams:
            return self.place in (Place.BETWEEN, Place.AFTER_LAST)
        return self.place is not Place.BEFORE_HEAD

    def find_exclusion(self) -> Exclusion | None:
        """Return why it is not played, ``None`` if it is."""
        gone = self.incarnation in GONE
        if self.place is Place.BEFORE_HEAD and (
            self.framing is not Framing.NONE
        ):
            return Exclusion.NO_FRAMING
        if self.place is Place.BEFORE_HEAD and (
            self.status is not Status.SUCCESS
        ):
            return Exclusion.NO_STATUS
        if self.place is Place.BETWEEN and not self.streams:
            return Exclusion.NO_EVENTS
        if self.ends_as_framed and self.manner is not Manner.ORDERLY:
            return Exclusion.LENGTH_REACHED
        if not self.needs_word:
            return None if self.reply is STAND_IN else Exclusion.NOT_ASKED
        if self.reply.is_word and gone:
            return Exclusion.DEAD
        if self.reply is Reply.ANOTHER and not gone:
            return Exclusion.OWN_ADDRESS
        if self.incarnation is Incarnation.ENDED and (
            self.reply in (Reply.ANOTHER, Reply.LATE)
        ):
            return Exclusion.NO_LISTENER
        return None
