"""An answer with a rate limit."""

import attrs


@attrs.frozen
class RateLimit:
    """The request rate that a target accepts from all entries together.

    :param rate: requests per second, zero or more
    """

    rate: float
