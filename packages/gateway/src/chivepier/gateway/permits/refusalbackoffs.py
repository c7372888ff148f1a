"""When it is worth asking again for leave."""

from chivepier.gateway.permits.claim import Claim
from chivepier.gateway.targets import Target

# Seconds between two log lines about sends withheld from one target.
LOG_INTERVAL_SECONDS = 1.0
# Pauses that are kept before those that are over are dropped.
MAX_BACKOFFS = 1_000


class RefusalBackoffs:
    """Remembers refusals by target, class and team.

    One team's refusals say nothing about another's claim: it may go first.
    """

    def __init__(self) -> None:
        self._until: dict[tuple[str, int, int, str], float] = {}
        self._logged: dict[str, float] = {}

    def record(self, target: Target, claim: Claim, until: float) -> None:
        """Note that a claim is not to be made before a moment.

        :param target: where it wants to go
        :param claim: whose request it is
        :param until: in monotonic seconds
        """
        if len(self._until) >= MAX_BACKOFFS:
            self._drop_expired(until)
        self._until[make_key(target, claim)] = until

    def find_remaining(
        self, target: Target, claim: Claim, now: float
    ) -> float | None:
        """Return the seconds that are left, or nothing once they are over."""
        until = self._until.get(make_key(target, claim))
        if until is None or until <= now:
            return None
        return until - now

    def should_log(self, target: Target, now: float) -> bool:
        """Tell whether it is time for another line about a target."""
        last = self._logged.get(target.instance)
        if last is not None and now - last < LOG_INTERVAL_SECONDS:
            return False
        self._logged[target.instance] = now
        return True

    def _drop_expired(self, now: float) -> None:
        self._until = {
            key: until for key, until in self._until.items() if until > now
        }
        self._logged = {
            name: at
            for name, at in self._logged.items()
            if now - at < LOG_INTERVAL_SECONDS
        }


def make_key(target: Target, claim: Claim) -> tuple[str, int, int, str]:
    """Return whose leave a claim is for."""
    return (target.instance, target.born, claim.urgency, claim.team)
