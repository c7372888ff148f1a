"""The scheduling state of one rate-limited target."""

import attrs

# Half-life of the turns counted for a team.
HALF_LIFE_SECONDS = 10.0
# Decayed number of turns below which a team's count is dropped.
MIN_SERVED_TURNS = 0.05


@attrs.define
class TargetSchedule:
    """Holds the last turn of a target and the claims for the next one.

    :param last_due: monotonic time at which the last turn was due, in seconds
    :param last_claimed_at: monotonic time of the last claim, in seconds
    :param refusals: number of claims refused since the last turn
    :param served_at: monotonic time at which ``served`` was last decayed
    :param served: number of turns granted to each team, with decay
    :param recent_refusals: monotonic time of the last refusal, by urgency
        class and team
    """

    last_due: float
    last_claimed_at: float
    refusals: int = 0
    served_at: float = 0.0
    served: dict[str, float] = attrs.field(factory=dict)
    recent_refusals: dict[tuple[int, str], float] = attrs.field(factory=dict)

    def decay_served(self, now: float) -> None:
        """Apply exponential decay to the turns counted for each team."""
        share = 0.5 ** ((now - self.served_at) / HALF_LIFE_SECONDS)
        self.served_at = now
        self.served = {
            team: count * share
            for team, count in self.served.items()
            if count * share >= MIN_SERVED_TURNS
        }
