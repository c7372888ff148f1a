"""Settings of the shared policy."""

import attrs

from chivepier.types import Urgency


def _waits() -> dict[Urgency, float]:
    return {Urgency.URGENT: 2.0, Urgency.NORMAL: 3.5, Urgency.BATCH: 7.0}


@attrs.frozen(kw_only=True)
class Limits:
    """What the policy weighs; the defaults are those measured.

    ``waits`` bounds the wait that is predicted for each class, in seconds:
    beyond it a request is refused at once.  ``lend_spare`` is the part of a
    target's memory that the team which holds the most by weight leaves free,
    others in proportion.  ``load_tokens`` says how many prompt tokens a full
    target must save to be preferred to an empty one, ``zone_tokens`` how
    many to leave the caller's zone.  While a team waits for room, another
    may be ahead of it by ``lead_tokens`` of service over weight.
    ``ahead_tokens`` of the expected output are charged with the grant, the
    rest as it comes.  ``heads`` teams are tried in each round of decisions,
    with the first ``scan`` requests of each class.  ``affinity`` switches
    the use of cached prefixes, ``stop_early`` the ending of batch streams
    before memory runs out.
    """

    waits: dict[Urgency, float] = attrs.field(factory=_waits)
    lend_spare: float = 0.13
    load_tokens: float = 2000.0
    zone_tokens: float = 30.0
    lead_tokens: float = 3000.0
    ahead_tokens: float = 256.0
    affinity: bool = True
    scan: int = 4
    heads: int = 3
    stop_early: bool = False
