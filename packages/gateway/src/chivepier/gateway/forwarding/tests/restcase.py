"""One drawn break of a stream, and what comes where its rest is due."""

import attrs

from chivepier.gateway.forwarding.tests.follow import Follow
from chivepier.gateway.forwarding.tests.follow import FOLLOWS
from chivepier.gateway.forwarding.tests.restways import Break
from chivepier.gateway.forwarding.tests.restways import Way

EVENTS = 4


@attrs.frozen(kw_only=True)
class RestCase:
    """A break and what follows it.

    :param way: how the next target is asked
    :param first: number of the first event
    :param events: events that the caller has at the break
    :param part: what the first target sends of the next event
    :param ends: how the first target's connection ends
    :param framed: whether the first body has a length or chunks
    :param follows: names of what comes then, see ``FOLLOWS``
    :param always: whether the last of these comes again and again, or a sound
        target after it
    :param leads: events before what breaks a body that follows
    :param next_framed: whether the bodies that follow have a length or chunks
    :param attempts: runs that the route allows
    """

    way: Way
    first: int
    events: int
    part: str
    ends: Break
    framed: bool
    follows: tuple[str, ...]
    always: bool
    leads: int
    next_framed: bool
    attempts: int

    @property
    def series(self) -> bytes:
        """The whole series of the one run."""
        return render(range(self.first, self.first + EVENTS))

    @property
    def due(self) -> bytes:
        """What the caller of this attempt lacks of the series."""
        if not self.way.is_taken_up:
            return self.series
        numbers = range(self.first + self.events, self.first + EVENTS)
        return render(numbers)

    def find_follow(self, index: int) -> Follow:
        """Return what comes at a send after the break, counted from 0."""
        if index < len(self.follows):
            return FOLLOWS[self.follows[index]]
        return FOLLOWS[self.follows[-1] if self.always else "sound"]


def render(numbers) -> bytes:
    """Return events as fake engines send them."""
    return "".join(f"id: {n}\ndata: {n}\n\n" for n in numbers).encode()
