"""The answer to a claim."""

import attrs


@attrs.frozen
class SendDecision:
    """Either permission to send after a delay, or a delay before a retry.

    :param granted: whether the request may be sent
    :param wait: seconds until the send, or until the claim may be repeated
    :param permit_seconds: seconds after the wait in which it may be sent; 0 if
        not specified
    """

    granted: bool
    wait: float
    permit_seconds: float = 0.0
