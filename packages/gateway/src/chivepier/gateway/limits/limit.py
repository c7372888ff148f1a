"""What one answer says of the rate that its target takes."""

import attrs


@attrs.frozen
class NoLimit:
    """The target takes what comes."""


@attrs.frozen
class RateLimit:
    """The target takes so many requests a second from all entries together.

    :param rate: requests a second, zero or more
    """

    rate: float


@attrs.frozen
class UnreadLimit:
    """The target names a limit that is no number."""


Limit = NoLimit | RateLimit | UnreadLimit
