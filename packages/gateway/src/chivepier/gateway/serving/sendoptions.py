"""Options of sending a request to a target."""

import attrs

from chivepier.gateway.serving.kvorigin import KvOrigin


@attrs.frozen(kw_only=True)
class SendOptions:
    """What a target is told in addition to the request of the caller.

    :param seconds: time that the target has for it, in seconds
    :param team: the team of the request, if teams are distinguished
    :param urgency: urgency class; 0 is the most urgent
    :param origin: the KV cache to resume from
    :param after_event: number of the last event that the caller has
    :param reservation: identifier of a reservation at the target
    :param once: whether it must not be sent again if its answer is lost
    """

    seconds: float
    team: str | None = None
    urgency: int | None = None
    origin: KvOrigin | None = None
    after_event: str | None = None
    reservation: str | None = None
    once: bool = False
