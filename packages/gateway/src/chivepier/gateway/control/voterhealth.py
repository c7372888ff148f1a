"""How one voter does, as its leader sees it."""

import attrs

from chivepier.messages import Voter


@attrs.frozen(kw_only=True)
class VoterHealth:
    """Times are in seconds.

    :param voter: identity and address
    :param silent: since its last answer to this leader
    :param heard: whether it has answered this leader at all
    :param behind: for how long it has not answered with the whole log
    :param stops: whether it has said that it is about to stop
    :param replaced: whether another voter has joined since it fell behind
    """

    voter: Voter
    silent: float = 0.0
    heard: bool = True
    behind: float = 0.0
    stops: bool = False
    replaced: bool = False
