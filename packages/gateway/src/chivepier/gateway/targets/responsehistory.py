"""The recent responses of one target."""

import attrs


@attrs.define
class ResponseHistory:
    """Moving averages, and the backoff of an unreachable target.

    :param failure_rate: average share of responses that were failures
    :param latency_ratio: average response time divided by the objective
    :param updated_at: monotonic time of the last response, in seconds
    :param backoff: last time for which it was avoided, in seconds
    :param avoided_until: monotonic time until which it is avoided, in seconds
    """

    failure_rate: float = 0.0
    latency_ratio: float = 0.0
    updated_at: float = 0.0
    backoff: float = 0.0
    avoided_until: float = 0.0
