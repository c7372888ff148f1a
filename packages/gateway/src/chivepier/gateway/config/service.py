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
    :param health_path: path at which a target tells which instance it is;
        ``None`` if it has none
    """

    name: str
    connections: int
    engine: Engine | None = None
    cold_rate: float = 0.0
    health_path: str | None = None
