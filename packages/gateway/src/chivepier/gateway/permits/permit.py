"""Leave to send one request to one target."""

import attrs

# Seconds after its moment in which a permit must be used: the way of the
# answer and a reservation.
PERMIT_SECONDS = 0.25
# The same at most, where answers are slow; a new leader waits for as long.
MAX_PERMIT_SECONDS = 1.0


@attrs.frozen
class Permit:
    """Lapses, so that its lender may give it to another entry.

    :param until: when it must have been used, in monotonic seconds; infinite
        for a target that takes what comes
    """

    expires_at: float = float("inf")
