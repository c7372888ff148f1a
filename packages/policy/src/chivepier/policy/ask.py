"""A request that waits for a permit."""

import attrs

from chivepier.types import Urgency


@attrs.frozen(kw_only=True)
class Ask:
    """What the owner knows of a request before it runs.

    Times are monotonic seconds of the owner's clock.  ``prefix`` holds
    hashes of growing prefixes of the prompt, salted by team; ``max_tokens``
    bounds the output, whose length nobody knows.
    """

    request: str
    team: str
    template: str
    model: str
    adapter: str = ""
    urgency: Urgency = Urgency.NORMAL
    weight: float = 1.0
    prompt_tokens: int = 0
    max_tokens: int = 1
    prefix: tuple[int, ...] = ()
    zone: str = ""
    excluded: frozenset[str] = frozenset()
    arrived: float = 0.0
    deadline: float = float("inf")
    queue_limit: int = 256
