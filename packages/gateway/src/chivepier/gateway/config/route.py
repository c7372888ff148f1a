"""Rules that map requests to services."""

import attrs

from chivepier.gateway.config.repetition import Repetition


@attrs.frozen(kw_only=True)
class Route:
    """Maps requests of a host and path prefix to services.

    :param name: name given by the operator
    :param host: host of the requests, without a port
    :param prefix: prefix of the path; begins and ends with a slash
    :param pools: names of services and their weights, with a sum above 0
    :param streaming: whether answers are streams of events
    :param repetition: whether requests may run more than once
    :param attempts: maximum number of targets that one request may run on
    :param timeout: maximum seconds that a caller waits
    :param objective: intended maximum seconds to the answer or its first event
    :param gap_objective: intended maximum pause between events, in seconds
    :param urgency: urgency class; 0 is the most urgent
    :param public: whether requests need no key
    :param regions: regions that its requests may reach; ``None`` for all
    """

    name: str
    host: str
    prefix: str
    pools: tuple[tuple[str, float], ...]
    streaming: bool
    repetition: Repetition
    attempts: int
    timeout: float
    objective: float
    gap_objective: float = 0.0
    urgency: int = 5
    public: bool = False
    regions: frozenset[str] | None = None

    @property
    def place(self) -> tuple[str, str]:
        """Host and prefix, as requests are compared with them."""
        return self.host.lower(), self.prefix
