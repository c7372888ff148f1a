"""A request in flight, with what the policy counts for it."""

from chivepier.policy.buckets import HORIZONS
from chivepier.policy.held import Held
from chivepier.policy.lengthprofile import LengthProfile

SLACK_TOKENS = 40
BEHIND_TOKENS = 32


class Flight:
    """Memory over the horizons: mean and variance of one stream.

    ``prompt`` counts the prompt tokens that it holds alone or first;
    :data:`SLACK_TOKENS` cover the unfilled block, what came since the last
    report, and growth up to the first horizon.  ``counted`` tokens of those
    that came are in the target's sums; with ``due`` tokens all is counted
    anew.  ``size`` is the memory that its team answers for, ``charged`` the
    tokens that it has paid for.
    """

    __slots__ = (
        "charged",
        "counted",
        "due",
        "held",
        "profile",
        "means",
        "prompt",
        "shares",
        "seen",
        "shares",
        "size",
        "stopped",
        "uncached",
        "variances",
    )

    def __init__(self, held: Held, profile: LengthProfile, prompt: int):
        self.held = held
        self.profile = profile
        self.prompt = prompt + SLACK_TOKENS
        self.charged = 0.0
        self.uncached = 0
        self.seen = held.granted
        self.size = 0.0
        self.stopped = False
        self.shares = False
        self.refresh()

    def refresh(self) -> None:
        """Look the chances up again after progress."""
        tokens = self.counted = self.held.tokens
        self.due = tokens + BEHIND_TOKENS + tokens // 2
        chances = limit_chances(
            self.profile.survive(tokens), self.held.ask.max_tokens - tokens
        )
        size = self.prompt + tokens
        self.means = [c * (size + h) for c, h in zip(chances, HORIZONS)]
        self.variances = [
            m * (size + h - m) for m, h in zip(self.means, HORIZONS)
        ]


def limit_chances(chances: tuple, left: int) -> tuple:
    """Set to zero the chances to come further than the output's limit.

    >>> limit_chances((1.0, 0.9, 0.8, 0.5, 0.1, 0.1, 0.1, 0.1), 200)
    (1.0, 0.9, 0.8, 0.5, 0.0, 0.0, 0.0, 0.0)

    :param chances: for each horizon
    :param left: tokens up to the limit
    :returns: for each horizon
    """
    if left > HORIZONS[-1]:
        return chances
    return tuple(
        chance if horizon < left or not horizon else 0.0
        for chance, horizon in zip(chances, HORIZONS)
    )
