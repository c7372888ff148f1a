"""The next request that is let through for parts that are suspected."""

import attrs


@attrs.define
class Trial:
    """The next request that one entry lets through for a group of parts.

    :param held_until: end of the hold that it follows, in monotonic seconds
    :param due_at: when it may come at the earliest, in monotonic seconds
    :param request: digest of the request that was let through, if any
    :param admitted_at: when that was, in monotonic seconds
    """

    held_until: float
    due_at: float
    request: str | None = None
    admitted_at: float = 0.0
