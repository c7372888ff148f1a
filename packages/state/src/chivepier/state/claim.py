"""A claimed request."""

import attrs

from chivepier.messages import Outcome


@attrs.frozen
class Claim:
    """Who dispatched a non-idempotent request, and how it ended.

    ``digest`` is the request's hash, so that a key can't be used for another
    request; ``claimed_at`` is in whole seconds of the claimer's wall clock.
    """

    digest: bytes
    request: str
    node: str
    incarnation: int
    claimed_at: int
    state: int
    outcome: Outcome | None = None
