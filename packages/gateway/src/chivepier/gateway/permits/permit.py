"""Leave to send one request to one target."""

import attrs

# Seconds after asking in which a permit must be used. An answer takes two
# round trips between availability zones, 6 ms; a request that has one then
# reserves room, some more milliseconds.
PERMIT_SECONDS = 0.25


@attrs.frozen
class Permit:
    """Lapses, so that its lender may give it to another entry.

    :param until: when it must have been used, in monotonic seconds; infinite
        for a target that takes what comes
    """

    until: float = float("inf")
