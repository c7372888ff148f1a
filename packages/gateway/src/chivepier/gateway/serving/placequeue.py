"""The queue of plain requests for a place at a target."""

import collections.abc
import contextlib

from chivepier.gateway.serving.placeoutcome import PlaceOutcome
from chivepier.gateway.serving.placeticket import PlaceTicket
from chivepier.gateway.targets import PlaceReport


class PlaceQueue:
    """Decides which requests wait at this entry while all targets are full.

    In the queue of a target a request can't change to another one, a more
    urgent one comes behind it, and a full queue refuses it. Here the first in
    order of urgency class and arrival gets the next place anywhere.

    >>> import attrs
    >>> queue = PlaceQueue()
    >>> full = PlaceReport(
    ...     instance="t", requests=12, slots=6, age=0.0, seconds=0.06
    ... )
    >>> with queue.enter("s", 1, 0.0, until=0.1, deadline=1.6) as ticket:
    ...     queue.decide(ticket, [full], now=0.0).value
    ...     queue.decide(ticket, [attrs.evolve(full, age=0.01)], 0.01).value
    ...     queue.decide(ticket, [full], now=0.1).value
    'full'
    'free'
    'over'
    """

    def __init__(self) -> None:
        self._tickets: dict[str, list[PlaceTicket]] = {}
        self._last_number = 0

    @contextlib.contextmanager
    def enter(
        self,
        service: str,
        urgency: int,
        arrived: float,
        until: float,
        deadline: float,
    ) -> collections.abc.Iterator[PlaceTicket]:
        """Keep a request in the queue until the context is left.

        :param service: name of its service
        :param urgency: its urgency class
        :param arrived: when it arrived, in monotonic seconds
        :param until: until when it may wait, in monotonic seconds
        :param deadline: until when it must be answered, in monotonic seconds
        """
        self._last_number += 1
        ticket = PlaceTicket(
            service=service,
            urgency=urgency,
            arrived=arrived,
            number=self._last_number,
            until=until,
            deadline=deadline,
        )
        tickets = self._tickets.setdefault(service, [])
        tickets.append(ticket)
        try:
            yield ticket
        finally:
            tickets.remove(ticket)
            if not tickets:
                del self._tickets[service]

    def count(self, service: str, urgency: int) -> int:
        """Return how many requests of a class are in the queue."""
        tickets = self._tickets.get(service, ())
        return sum(ticket.urgency == urgency for ticket in tickets)

    def decide(
        self,
        ticket: PlaceTicket,
        places: collections.abc.Sequence[PlaceReport] | None,
        now: float,
    ) -> PlaceOutcome:
        """Decide whether a request waits.

        :param ticket: the request
        :param places: places of its candidates; ``None`` unless each of them
            has reported lately
        :param now: current time, in monotonic seconds
        """
        if places is None:
            ticket.candidates = frozenset()
            return PlaceOutcome.UNREPORTED
        ticket.candidates = frozenset(place.instance for place in places)
        rooms = {place.instance: place.room for place in places if place.room}
        if sum(rooms.values()) > self._count_ahead(ticket, rooms):
            return PlaceOutcome.FREE
        start = self.estimate_start(ticket, places)
        if start is not None and now + start > ticket.deadline:
            return PlaceOutcome.HOPELESS
        if now >= ticket.until:
            return PlaceOutcome.OVER
        return PlaceOutcome.FULL

    def estimate_start(
        self,
        ticket: PlaceTicket,
        places: collections.abc.Iterable[PlaceReport],
    ) -> float | None:
        """Return the seconds until a request would begin, at the earliest.

        :param ticket: the request
        :param places: places of its candidates
        :returns: ``None`` if it isn't known how fast places become free
        """
        rate, ahead = 0.0, self._count_ahead(ticket, ticket.candidates)
        for place in places:
            if place.rate is None:
                return None
            rate += place.rate
            ahead += place.queued
        return ahead / rate if rate else None

    def _count_ahead(
        self, ticket: PlaceTicket, names: collections.abc.Iterable[str]
    ) -> int:
        """Count those before a request that may take one of some targets."""
        return sum(
            other.rank < ticket.rank and not other.candidates.isdisjoint(names)
            for other in self._tickets.get(ticket.service, ())
        )
