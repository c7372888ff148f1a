"""A named group of targets."""

import attrs

from chivepier.gateway.config.engine import Engine


@attrs.frozen(kw_only=True)
class Service:
    """A group of interchangeable targets.

    :param name: name of the service
    :param connections: maximum connections that one target accepts from all
        callers together
    :param engine: capabilities of model-serving targets; ``None`` for others
    :param cold_rate: requests per second that a cold target tolerates, from
        all callers together; 0 for no limit
    """

    name: str
    connections: int
    engine: Engine | None = None
    cold_rate: float = 0.0
