"""Those that want to go to one target in need."""

import attrs

# Seconds in which what a team was served counts half.
HALF_LIFE_SECONDS = 10.0
# What a team was served counts as nothing below this.
MIN_SERVED_TURNS = 0.05


@attrs.define
class TargetSchedule:
    """Those that want to go to one target.

    :param last: when the last turn was due, in monotonic seconds
    :param asked: when it was last asked for
    :param refused: claims refused since the last turn
    :param served: turns that each team had, the older ones counting less
    :param rivals: when a claim of a class and team was last refused
    """

    last_due: float
    last_claimed_at: float
    refusals: int = 0
    served_at: float = 0.0
    served: dict[str, float] = attrs.field(factory=dict)
    recent_refusals: dict[tuple[int, str], float] = attrs.field(factory=dict)

    def decay_served(self, now: float) -> None:
        """Let what teams were served count less, the longer ago it is."""
        share = 0.5 ** ((now - self.served_at) / HALF_LIFE_SECONDS)
        self.served_at = now
        self.served = {
            team: count * share
            for team, count in self.served.items()
            if count * share >= MIN_SERVED_TURNS
        }
