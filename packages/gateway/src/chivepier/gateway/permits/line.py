"""Those that want to go to one target in need."""

import attrs

# Seconds in which what a team was served counts half.
HALF_LIFE_SECONDS = 10.0
# What a team was served counts as nothing below this.
LEAST_SERVED = 0.05


@attrs.define
class Line:
    """Those that want to go to one target.

    :param last: when the last turn was due, in monotonic seconds
    :param asked: when it was last asked for
    :param refused: claims refused since the last turn
    :param served: turns that each team had, the older ones counting less
    :param rivals: when a claim of a class and team was last refused
    """

    last: float
    asked: float
    refused: int = 0
    served_at: float = 0.0
    served: dict[str, float] = attrs.field(factory=dict)
    rivals: dict[tuple[int, str], float] = attrs.field(factory=dict)

    def age_served(self, now: float) -> None:
        """Let what teams were served count less, the longer ago it is."""
        share = 0.5 ** ((now - self.served_at) / HALF_LIFE_SECONDS)
        self.served_at = now
        self.served = {
            team: count * share
            for team, count in self.served.items()
            if count * share >= LEAST_SERVED
        }
