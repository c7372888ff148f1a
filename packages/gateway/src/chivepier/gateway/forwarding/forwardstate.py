"""The state of an answer to a forwarded request."""

import enum


class ForwardState(enum.Enum):
    """How far the answer to a forwarded request has come.

    ``REFUSED`` means that the other entry did not take the request, ``FAILED``
    that it took it and answers with an error of its own, and ``BROKEN`` that
    the answer can't be completed.
    """

    OPEN = "open"
    COMPLETE = "complete"
    REFUSED = "refused"
    FAILED = "failed"
    BROKEN = "broken"
