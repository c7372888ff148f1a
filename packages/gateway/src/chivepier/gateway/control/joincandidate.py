"""An instance that asks for a vote."""

import attrs

from chivepier.messages import Voter


@attrs.define
class JoinCandidate:
    """An instance without a vote, and when it last asked for one."""

    voter: Voter
    requested_at: float
