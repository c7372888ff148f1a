"""The places of a target, by a report that is not too old."""

import attrs

# Requests that may wait at a target for each of its slots before others wait
# at their entries: its places don't stand free while its reports are relayed,
# which takes about as long as a request.
QUEUED_PER_SLOT = 1


@attrs.frozen(kw_only=True)
class PlaceReport:
    """What is known of a target's places for requests.

    Requests that have ended since the report are counted out as far as they
    must have ended: nobody waits for a place that stands free.

    >>> full = PlaceReport(
    ...     instance="t", requests=14, slots=6, age=0.0, seconds=0.06
    ... )
    >>> full.room, full.queued, full.rate
    (0, 8, 100.0)
    >>> attrs.evolve(full, age=0.05).room
    3

    :param instance: name of the target
    :param requests: those that it had, and what this entry sent since
    :param slots: number of requests that it runs at once
    :param age: age of the report, in seconds
    :param seconds: expected time of a request there; ``None`` if unknown
    """

    instance: str
    requests: int
    slots: int
    age: float
    seconds: float | None

    @property
    def rate(self) -> float | None:
        """Requests that it ends while all its places are taken, per second."""
        return self.slots / self.seconds if self.seconds else None

    @property
    def left(self) -> int:
        """Requests that it still has, if nobody else has sent any since."""
        ended = int(self.age * (self.rate or 0.0))
        return max(0, self.requests - ended)

    @property
    def room(self) -> int:
        """Number of requests that it may be sent now."""
        return max(0, (1 + QUEUED_PER_SLOT) * self.slots - self.left)

    @property
    def queued(self) -> int:
        """Number of requests that wait there."""
        return max(0, self.left - self.slots)
