"""The exact record of one target."""

import math

from chivepier.policy.buckets import HORIZONS
from chivepier.policy.flight import Flight
from chivepier.policy.pace import Pace
from chivepier.policy.prefixindex import PREFIX_BLOCK_TOKENS
from chivepier.policy.targetview import TargetView

MIN_RISK = 0.5
MAX_RISK = 4.0
FIRST_RISK = 1.0
RISK_STEP = 0.5
RISK_DECAY = 0.98
HEADROOM = 0.01


class TargetState:
    """What runs at a target, and what memory that will take.

    Sums of means and variances over the horizons are kept up to date with
    each change, so that asking whether one more fits costs the same however
    much runs.  ``risk`` is how many standard deviations must fit besides
    the mean, and how many hundredths of the memory besides: it rises with
    each preemption that the target reports, and decays slowly without.
    """

    def __init__(self, view: TargetView):
        self.view = view
        self.flights: dict[int, Flight] = {}
        self.pace = Pace()
        self.risk = FIRST_RISK
        self.suspect_until = -math.inf
        self.refused_size = math.inf
        self.gone = False
        self.pending = 0
        self.failures = 0
        self.reserved_for = ""
        self._means = [0.0] * len(HORIZONS)
        self._variances = [0.0] * len(HORIZONS)
        self._users: dict[int, int] = {}
        self._first: dict[int, int] = {}
        self._orphans = 0
        self._behind = 0

    @property
    def streams(self) -> int:
        """Requests in flight here, by own record."""
        return len(self.flights)

    @property
    def used(self) -> float:
        """Tokens in memory now, by own record."""
        shared = self._orphans * PREFIX_BLOCK_TOKENS
        return self._means[0] + self._behind + shared

    def update(self, view: TargetView) -> None:
        """Take a new announcement in."""
        seen = view.preemptions - self.view.preemptions
        if seen > 0:
            self.risk += RISK_STEP * min(seen, 3)
        else:
            self.risk *= RISK_DECAY
        self.risk = min(MAX_RISK, max(MIN_RISK, self.risk))
        self.view = view
        self.refused_size = math.inf

    def count_shared(self, prefix: tuple[int, ...]) -> int:
        """Count the leading prefix blocks that something here uses now."""
        if not self._users or not prefix or prefix[0] not in self._users:
            return 0
        if prefix[-1] in self._users:
            return len(prefix)
        for count, key in enumerate(prefix):
            if key not in self._users:
                return count
        return len(prefix)

    def add(self, flight: Flight) -> None:
        """Count a request."""
        permit = flight.held.permit
        self.flights[permit] = flight
        self.pending += flight.uncached
        self._sum(flight, 1.0)

    def _sum(self, flight: Flight, sign: float) -> None:
        means, variances = self._means, self._variances
        for index, mean in enumerate(flight.means):
            means[index] += sign * mean
            variances[index] += sign * flight.variances[index]

    def _share(self, flight: Flight) -> None:
        # only with the first token is the prompt in the cache: until then
        # another request with the same prefix holds its own copy
        flight.shares = True
        permit = flight.held.permit
        for key in flight.held.ask.prefix:
            users = self._users.get(key, 0)
            self._users[key] = users + 1
            if not users:
                self._first[key] = permit

    def remove(self, flight: Flight) -> None:
        """Forget a request."""
        permit = flight.held.permit
        del self.flights[permit]
        self._behind -= flight.held.tokens - flight.counted
        self._sum(flight, -1.0)
        if flight.shares:
            for key in flight.held.ask.prefix:
                self._drop_user(key, permit)
        else:
            self.pending -= flight.uncached
        self.refused_size = math.inf
        if not self.flights:
            # sums of floats drift; an empty target is exactly empty
            self._means = [0.0] * len(HORIZONS)
            self._variances = [0.0] * len(HORIZONS)

    def _drop_user(self, key: int, permit: int) -> None:
        users = self._users[key] - 1
        if users:
            self._users[key] = users
            if self._first.get(key) == permit:
                del self._first[key]
                self._orphans += 1
            return
        del self._users[key]
        if self._first.pop(key, None) is None:
            self._orphans -= 1

    def advance(self, flight: Flight, tokens: int) -> bool:
        """Count a request's progress.

        Looking up the chances at each report would cost more than all else;
        between, the tokens that came are only added up.

        :param flight: the request
        :param tokens: all that came so far
        :returns: whether it was counted anew
        """
        held = flight.held
        self._behind += tokens - held.tokens
        held.tokens = tokens
        if not flight.shares:
            self._share(flight)
            self.pending -= flight.uncached
        if tokens < flight.due:
            return False
        self._behind -= tokens - flight.counted
        self._sum(flight, -1.0)
        flight.refresh()
        self._sum(flight, 1.0)
        return True

    def fits(self, prompt: int, chances: tuple, spare: float) -> bool:
        """Tell whether one more fits at every horizon.

        :param prompt: tokens that it adds at once
        :param chances: its chances to reach each horizon
        :param spare: tokens that must stay free besides
        :returns: whether the chance of overflow stays under the bound
        """
        if not self.flights:
            # no margin would ever be free for a prompt of nearly all memory
            return prompt <= self.view.capacity_tokens
        margin = HEADROOM * self.risk * self.view.capacity_tokens
        limit = self.view.capacity_tokens - spare - margin - self._behind
        limit -= self._orphans * PREFIX_BLOCK_TOKENS
        if self._means[0] + prompt > limit:
            return False
        for index in range(1, len(HORIZONS)):
            chance = chances[index]
            size = prompt + HORIZONS[index]
            mean = self._means[index] + chance * size
            if mean > limit:
                return False
            variance = self._variances[index]
            variance += chance * (1.0 - chance) * size * size
            left = limit - mean
            if self.risk * self.risk * variance > left * left:
                return False
        return True

    def is_open(self, now: float) -> bool:
        """Tell whether the target takes requests at all now."""
        if self.gone or self.view.leaving or now < self.suspect_until:
            return False
        return len(self.flights) < self.view.max_streams

    def find_excess(self, seconds: float) -> float:
        """Return the tokens by which memory will be short.

        :param seconds: how far ahead; every stream is taken to go on
        :returns: tokens, 0 or less where all will fit
        """
        if not self.view.capacity_tokens:
            return 0.0
        growth = len(self.flights) * seconds / self.pace.mean
        return self.used + growth - self.view.capacity_tokens
