"""One kind of traffic of one team."""

import attrs

from chivepier.types import Urgency


@attrs.frozen(kw_only=True)
class Stream:
    """How often a team asks, with what prompts, for what lengths.

    ``rate`` is in requests a second.  Lengths are log-normal: ``median``
    tokens and ``sigma``.  ``shared`` prompt tokens belong to a document
    that ``turns`` requests on average have in common, ``own`` to the request
    alone.
    """

    team: str
    template: str
    urgency: Urgency
    rate: float
    weight: float
    median: float
    sigma: float
    shared: int
    own: int
    turns: float = 4.0
    limit: int = 4096
