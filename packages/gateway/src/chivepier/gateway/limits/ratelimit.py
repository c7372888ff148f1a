"""An answer that names a limit."""

import attrs


@attrs.frozen
class RateLimit:
    """The target takes so many requests a second from all entries together.

    :param rate: requests a second, zero or more
    """

    rate: float
