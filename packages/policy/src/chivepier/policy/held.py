"""A permit in use."""

import attrs

from chivepier.policy.ask import Ask


@attrs.define(kw_only=True)
class Held:
    """One request in flight at a target; ``tokens`` came so far."""

    permit: int
    ask: Ask
    target: str
    granted: float
    tokens: int = 0
