"""A target as the policy sees it."""

import attrs


@attrs.frozen(kw_only=True)
class TargetView:
    """From the target's announcement; the load lags and may be old.

    ``capacity_tokens`` is the engine's cache memory in tokens, 0 where the
    target is a plain service; ``max_streams`` bounds requests at once.
    """

    target: str
    address: str
    zone: str = ""
    models: frozenset[str] = frozenset()
    adapters: frozenset[str] = frozenset()
    capacity_tokens: int = 0
    max_streams: int = 1
    leaving: bool = False
    running: int = 0
    waiting: int = 0
    used_tokens: int = 0
    preemptions: int = 0
    cached: frozenset[int] = frozenset()
