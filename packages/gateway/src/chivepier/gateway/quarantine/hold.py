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
    :param parts: digests of the parts of its prompt that it is held back for;
        empty if it is for the request itself
    :param settled_at: time from which all entries have had a chance to
        contradict, in monotonic seconds
    """

    digest: str
    endings: tuple[Ending, ...]
    until: float
    parts: frozenset[str] = frozenset()
    settled_at: float = 0.0
