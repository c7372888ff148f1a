"""The outcome of one request, as its caller saw it."""

import attrs


@attrs.frozen
class Reply:
    """Holds the outcome of one request, as its caller saw it.

    :param at: time of the answer, in monotonic seconds
    :param status: status of the answer; 0 if the connection failed
    :param seconds: seconds from the request to the answer
    :param retry_after: value of ``Retry-After`` in seconds, if there is one
    :param reason: error of the connection, or body of a refusal
    :param body: body of the answer
    """

    at: float
    status: int
    seconds: float
    retry_after: float | None
    reason: str = ""
    body: bytes = attrs.field(default=b"", repr=False)
