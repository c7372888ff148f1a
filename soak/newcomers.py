"""What becomes of new connections on a path."""

import enum


class Newcomers(enum.Enum):
    """What becomes of new connections on a path that carries ends late.

    ``FORWARDED`` go on as ever, ``CLOSED`` are taken and closed at once,
    ``HUNG`` are taken, and closed once the path is sound again.
    """

    FORWARDED = "forwarded"
    CLOSED = "closed"
    HUNG = "hung"
