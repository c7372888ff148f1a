"""The attributes of a request that decide its order at a target."""

import attrs


@attrs.frozen
class Claim:
    """A request's claim to a turn at a rate-limited target.

    :param team: team that the request belongs to; empty if it has none
    :param urgency: urgency class of the request; the lowest goes first
    :param max_wait: maximum seconds that the request can wait for its turn
    """

    team: str = ""
    urgency: int = 0
    max_wait: float = 0.0
