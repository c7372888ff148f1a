"""A request whose connection broke or whose target stopped responding."""

import attrs

from chivepier.gateway.targets import Target


@attrs.frozen(kw_only=True)
class LostRequest:
    """One failed attempt to run a request on a target.

    :param id: request id of this attempt
    :param digest: digest of the request, the same for each attempt
    :param team: team of the caller
    :param parts: digests of the shared parts of its prompt
    :param target: target that it was sent to
    :param software: service and software version of the target
    :param sent_at: when it was sent there, in monotonic seconds
    :param first_event_at: when its first event arrived, in monotonic
        seconds; ``None`` if none did
    :param answering: whether the head of an answer had arrived
    :param disconnected: whether the connection broke; otherwise it timed
        out
    :param lost_at: when the loss was noticed, in monotonic seconds
    """

    id: str
    digest: str
    team: str | None
    target: Target
    sent_at: float
    first_event_at: float | None
    disconnected: bool
    lost_at: float
    parts: tuple[str, ...] = ()
    software: str = ""
    answering: bool = False
