"""A backoff in force."""

import attrs


@attrs.define
class ActiveBackoff:
    """End of a backoff and the state of the probe request after it.

    :param until: end of the backoff, in monotonic seconds
    :param requested_at: when the target last requested it, in monotonic
        seconds
    :param probe_until: until when other requests wait for the answer to the
        first request after the backoff, in monotonic seconds
    """

    until: float
    requested_at: float
    probe_until: float = float("-inf")
