"""How one target has answered lately."""

import attrs


@attrs.define
class ResponseHistory:
    """Averages, and for how long the target is avoided.

    :param failures: share of its answers that were failures
    :param slowness: time taken over the objective
    :param noted: when it last answered, in monotonic seconds
    :param pause: seconds for which it is avoided the next time
    :param until: when it may be tried again, in monotonic seconds
    """

    failure_rate: float = 0.0
    latency_ratio: float = 0.0
    updated_at: float = 0.0
    backoff: float = 0.0
    avoided_until: float = 0.0
