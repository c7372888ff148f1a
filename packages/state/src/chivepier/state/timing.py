"""Times of the replicated log."""

import attrs


@attrs.frozen(kw_only=True)
class Timing:
    """In seconds; ``election`` is the shortest election timeout.

    A leader's lease is ``election`` less a share for clocks that run at
    different rates, counted from when the confirmed heartbeat was sent.
    ``request`` is shorter than the lease: with one voter down, one lost
    answer of the other would else cost the leader its lease.
    """

    heartbeat: float = 0.15
    election: float = 1.0
    spread: float = 1.0
    request: float = 0.5
    clock_rate_margin: float = 0.1

    @property
    def lease(self) -> float:
        """Length of the leader's lease."""
        return self.election * (1 - self.clock_rate_margin)
