"""The PermitRequest message."""

from chivepier.messages.registry import message


@message(173)
class PermitRequest:
    """Ask the leader for one send to a target that takes few.

    ``most`` is how many a cold target bears in any second from all entries
    together, 0 where it is not cold. ``rate`` is how many a second a target
    in need takes from all entries, below zero where it names none; then
    ``team`` and ``urgency`` are those of the request, and ``patience`` the
    seconds that it can wait for its turn. ``lapse`` is the seconds from the
    question on in which leave may be used.
    """

    instance: str
    cold_limit: int
    rate: float = -1.0
    team: str = ""
    urgency: int = 0
    max_wait: float = 0.0
    permit_seconds: float = 0.25
