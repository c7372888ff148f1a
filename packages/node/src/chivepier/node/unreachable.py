"""Members that this entry could not reach a moment ago."""

from chivepier.messages import Member
from chivepier.types import Clock

REMEMBER_SECONDS = 3.0


class Unreachable:
    """Remembers for a short time whom not to ask.

    Without it each request would wait for the same dead owner before it
    turned to a deputy.  It is short, so that a healed link is used again.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._until: dict[tuple[str, int], float] = {}

    def add(self, member: Member) -> None:
        """Note a member that did not answer."""
        now = self._clock.monotonic()
        key = (member.node, member.incarnation)
        self._until[key] = now + REMEMBER_SECONDS
        for old, until in list(self._until.items()):
            if until <= now:
                del self._until[old]

    def __contains__(self, member: Member) -> bool:
        until = self._until.get((member.node, member.incarnation))
        return until is not None and self._clock.monotonic() < until
