"""A permit request that the leader has not answered yet."""

import attrs


@attrs.define
class PendingRequest:
    """Describes the permit that an answer grants.

    :param key: target, incarnation, urgency class and team of the permit
    :param asked_at: monotonic time of the request, in seconds
    :param permit_seconds: seconds from then on in which the permit is valid
    :param is_awaited: whether the caller still waits for the answer
    """

    key: tuple[str, int, int, str]
    asked_at: float
    permit_seconds: float
    is_awaited: bool = True
