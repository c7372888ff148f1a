"""What one caller got."""

import attrs


@attrs.frozen
class Reply:
    """What one caller got.

    :param at: when, in monotonic seconds
    :param status: 0 where the connection broke or none was made
    :param seconds: from its request to its answer
    :param back: seconds until it may come back, where it was told
    """

    at: float
    status: int
    seconds: float
    retry_after: float | None
