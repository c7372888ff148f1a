"""How one request is sent to one target."""

import attrs

from chivepier.gateway.serving.kvorigin import KvOrigin


@attrs.frozen(kw_only=True)
class SendOptions:
    """What goes with the caller's own request.

    :param seconds: for which the target may work on it
    :param team: whose request it is, if teams are told apart
    :param urgency: 0 is the most urgent
    :param origin: memory to go on from
    :param after_event: the last event that the caller has
    :param reservation: of room at the target
    :param once: whether it must not be sent again when its answer is lost
    """

    seconds: float
    team: str | None = None
    urgency: int | None = None
    origin: KvOrigin | None = None
    after_event: str | None = None
    reservation: str | None = None
    once: bool = False
