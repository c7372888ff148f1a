"""One request in the queue for a place."""

import attrs


@attrs.define(eq=False, kw_only=True)
class PlaceTicket:
    """A request that looks for a place.

    :param service: name of its service
    :param urgency: its urgency class
    :param arrived: when it arrived, in monotonic seconds
    :param number: order of those that arrived together
    :param until: until when it may wait, in monotonic seconds
    :param deadline: until when it must be answered, in monotonic seconds
    :param candidates: names of the targets that may take it
    """

    service: str
    urgency: int
    arrived: float
    number: int
    until: float
    deadline: float
    candidates: frozenset[str] = frozenset()

    @property
    def rank(self) -> tuple[int, float, int]:
        """Its place in the order; the lowest goes first."""
        return self.urgency, self.arrived, self.number
