"""Lengths of the membership leases."""

import attrs


@attrs.frozen(kw_only=True)
class LeaseTerms:
    """In seconds.  ``lease``: how long a node may take work unrenewed.

    Whoever waits for a lease to run out waits ``outlast``: the lease plus a
    margin for clocks that run at different rates.
    """

    lease: float = 2.0
    renew: float = 0.6
    request: float = 0.5
    expiry: float = 3.0
    clock_rate_margin: float = 0.1

    @property
    def outlast(self) -> float:
        """Seconds after which a lease has surely run out."""
        return self.lease * (1 + self.clock_rate_margin)
