"""The PermitRequest message."""

from chivepier.messages.registry import message


@message(173)
class PermitRequest:
    """Requests a permit to send one request to a cold or rate-limited target.

    ``cold_limit`` is the number of requests per second that a cold target can
    take from all entries together, 0 if it is not cold. ``rate`` is the rate
    limit of the target in requests per second, negative if it has none. With a
    rate limit, ``team`` and ``urgency`` are those of the request, and
    ``max_wait`` is the number of seconds that it can wait. ``permit_seconds``
    is the lifetime of the permit, in seconds from the time of asking.
    ``is_forwarded`` tells that a voter has passed the request on.
    """

    instance: str
    cold_limit: int
    rate: float = -1.0
    team: str = ""
    urgency: int = 0
    max_wait: float = 0.0
    permit_seconds: float = 0.25
    is_forwarded: bool = False
