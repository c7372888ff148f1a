"""Which requests go where, and how."""

import attrs

from chivepier.gateway.config.repetition import Repetition


@attrs.frozen(kw_only=True)
class Route:
    """One rule of the operator.

    :param name: the operator's name for it
    :param host: of the request, without a port
    :param prefix: of the path, beginning and ending with a slash
    :param pools: service names and their weights, which add up to over 0
    :param streaming: whether answers are series of events
    :param repetition: what may run more than once
    :param attempts: targets that one request may run on, at most
    :param timeout: seconds that a caller is kept waiting, at most
    :param objective: seconds to the answer or its first event
    :param gap_objective: longest pause between events, in seconds
    :param urgency: 0 is the most urgent
    :param public: whether no key is asked for
    :param regions: that its requests may reach; ``None`` for all
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
