"""A request whose target broke off or fell silent."""

import attrs

from chivepier.gateway.targets import Target


@attrs.frozen(kw_only=True)
class LostRequest:
    """What one entry saw of one send.

    :param id: the request's, of this attempt
    :param digest: the same request's whenever it comes
    :param team: whose it is
    :param target: where it was sent
    :param sent: when it was sent there, in monotonic seconds
    :param begun: when its first event came from there, in monotonic seconds;
        ``None`` before that
    :param broke: whether the connection broke; else nothing came in time
    :param at: when it was seen, in monotonic seconds
    """

    id: str
    digest: str
    team: str | None
    target: Target
    sent: float
    begun: float | None
    broke: bool
    at: float
