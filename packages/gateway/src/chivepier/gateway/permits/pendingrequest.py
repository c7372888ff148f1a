"""A question to the leader that is under way."""

import attrs


@attrs.define
class PendingRequest:
    """What its answer is worth, and to whom.

    :param key: whose leave it asks for: target, class and team
    :param asked: when, in monotonic seconds
    :param permit_seconds: seconds from then on in which leave may be used
    :param awaited: whether the request that asked still waits for it
    """

    key: tuple[str, int, int, str]
    asked_at: float
    permit_seconds: float
    is_awaited: bool = True
