"""How a path carries the ends of connections while it is in trouble."""

import attrs

from soak.newcomers import Newcomers


@attrs.frozen
class LateEnds:
    """Ends that arrive late, each connection's by a time of its own.

    :param seconds: range of the seconds by which an end is late
    :param newcomers: what becomes of new connections meanwhile
    """

    seconds: tuple[float, float]
    newcomers: Newcomers = Newcomers.FORWARDED

    def __str__(self) -> str:
        return f"{self.seconds[1]:g}-{self.newcomers.value}"


# Ends that are late by less and by more than a target is asked for after one.
LATE_ENDS = tuple(
    LateEnds((0.0, most), newcomers)
    for most in (0.3, 1.0)
    for newcomers in (Newcomers.CLOSED, Newcomers.HUNG)
)
