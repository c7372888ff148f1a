"""The reason and duration for which a request is held back."""

import attrs

from chivepier.gateway.quarantine.ending import Ending


@attrs.frozen
class Hold:
    """The evidence against one request.

    :param digest: digest of the request
    :param endings: ends of targets under it, oldest first; empty if an
        operator blocked the request
    :param until: when it may be sent again, in monotonic seconds
    """

    digest: str
    endings: tuple[Ending, ...]
    until: float
