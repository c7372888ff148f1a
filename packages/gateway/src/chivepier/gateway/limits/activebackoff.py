"""A rest that a target was promised."""

import attrs


@attrs.define
class ActiveBackoff:
    """Until when a target gets nothing, and what follows.

    :param until: in monotonic seconds
    :param asked: when the target last asked for it, in monotonic seconds
    :param tried_until: after its end, until when the answer to the first
        request is awaited before another one goes; in monotonic seconds
    """

    until: float
    requested_at: float
    probe_until: float = float("-inf")
