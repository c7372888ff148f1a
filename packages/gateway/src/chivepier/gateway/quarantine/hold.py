"""Why and for how long a request is held back."""

import attrs

from chivepier.gateway.quarantine.ending import Ending


@attrs.frozen
class Hold:
    """The evidence against one request.

    :param digest: the request's
    :param endings: targets that ended under it, the oldest first; empty where
        an operator keeps it out
    :param until: when it may be sent again, in monotonic seconds
    """

    digest: str
    endings: tuple[Ending, ...]
    until: float
