"""How long to wait for a peer's pong."""

import attrs

# Seconds to wait on a path that is not known to be slow, and at most.
PONG_SECONDS = 0.5
MAX_PONG_SECONDS = 2.0
# Waiting time as a multiple of the round trip that was seen.
ROUND_TRIPS = 2.0


@attrs.define
class Patience:
    """Learns how slow the path to a peer is, over all its connections.

    A late pong still tells that a connection works: without this, a slow path
    would take one connection after the other.

    >>> patience = Patience()
    >>> patience.note(0.7)
    >>> patience.seconds
    1.4

    :param seconds: how long to wait for the next pong
    """

    seconds: float = PONG_SECONDS

    def note(self, round_trip: float) -> None:
        """Note the seconds that a pong took; a slow path is forgotten slowly.

        :param round_trip: from the ping to the pong
        """
        wanted = max(PONG_SECONDS, ROUND_TRIPS * round_trip, self.seconds / 2)
        self.seconds = min(MAX_PONG_SECONDS, wanted)
