"""An instance that has requested a vote."""

import attrs

from chivepier.messages import Voter


@attrs.define
class JoinCandidate:
    """A non-voting instance and the monotonic time of its last request."""

    voter: Voter
    requested_at: float
