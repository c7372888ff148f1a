"""Delays before a refused claim may be repeated."""

from chivepier.gateway.permits.claim import Claim
from chivepier.gateway.targets import Target

# Minimum seconds between two log lines about refused sends to one target.
LOG_INTERVAL_SECONDS = 1.0
# Number of stored delays from which on expired ones are removed.
MAX_BACKOFFS = 1_000


class RefusalBackoffs:
    """Stores refusals by target, urgency class and team.

    A refusal of one team does not apply to the claims of another, which may
    have a higher priority.
    """

    def __init__(self) -> None:
        self._until: dict[tuple[str, int, int, str], float] = {}
        self._logged: dict[str, float] = {}

    def record(self, target: Target, claim: Claim, until: float) -> None:
        """Record that a claim must not be made before a given time.

        :param target: target of the claim
        :param claim: the refused claim
        :param until: monotonic time from which on it may be repeated
        """
        if len(self._until) >= MAX_BACKOFFS:
            self._drop_expired(until)
        self._until[make_key(target, claim)] = until

    def find_remaining(
        self, target: Target, claim: Claim, now: float
    ) -> float | None:
        """Return the remaining delay in seconds, or None if it is over."""
        until = self._until.get(make_key(target, claim))
        if until is None or until <= now:
            return None
        return until - now

    def should_log(self, target: Target, now: float) -> bool:
        """Tell whether another log line about a target is due."""
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
    """Return the key of a permit: target, incarnation, class and team."""
    return (target.instance, target.born, claim.urgency, claim.team)
