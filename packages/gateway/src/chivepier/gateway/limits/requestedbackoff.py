"""A backoff that a target requests."""

import attrs


@attrs.frozen
class RequestedBackoff:
    """The target wants no requests from the entry that it answered.

    :param seconds: duration in seconds, from the answer on
    """

    seconds: float
