"""A named group of targets."""

import attrs

from chivepier.gateway.config.engine import Engine


@attrs.frozen(kw_only=True)
class Service:
    """Targets that answer the same requests.

    :param name: the service's name
    :param connections: what one target takes from all callers together
    :param engine: set for model-serving targets
    :param cold_rate: requests a second that a cold target bears, from all
        callers together; 0 where that is not bounded
    """

    name: str
    connections: int
    engine: Engine | None = None
    cold_rate: float = 0.0
