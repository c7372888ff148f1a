"""Refusing new requests near the limits of the instance."""

import datetime
import random

from chivepier.gateway.serving.shortage import Shortage
from chivepier.gateway.usage import Usage
from chivepier.types import ErrorKind
from chivepier.types import Failure
from chivepier.types import RequestError

# Used share of a limit from which new requests are refused: beyond it the
# process would soon be ended, with all its streams, or accept nobody.
START_SHARE = 0.9
# Used share below which they are accepted again: what runs has room to grow.
STOP_SHARE = 0.8
# Growth of the used share of memory after which it counts as short again.
GROWTH_SHARE = 0.01
# Updates without such growth after which memory no longer counts as short:
# what runs may run for long.
STEADY_UPDATES = 8
# Bounds of the delay that refused callers are told, in seconds: they go to
# another entry soon, but not all in the same moment.
MIN_DELAY_SECONDS = 0.05
MAX_DELAY_SECONDS = 0.25


class Shedding:
    """Decides when an entry refuses new requests; running ones go on.

    Unknown limits have a used share of 0, and nothing is refused.

    >>> shedding = Shedding(random.Random(1))
    >>> shedding.update(Usage(memory=0.92), active=4)
    True
    >>> shedding.shortage
    <Shortage.MEMORY: 'memory'>

    :param rng: draws the delay that a refused caller is told
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._active_before = 0
        self._short_memory = 0.0
        self._steady = 0
        self._accepted_memory = 0.0
        self.shortage: Shortage | None = None

    def update(self, usage: Usage, active: int) -> bool:
        """Decide anew whether new requests are refused.

        :param usage: used shares of the limits
        :param active: number of requests that this entry serves
        :returns: whether the decision has changed
        """
        before = self.shortage
        if usage.memory < STOP_SHARE:
            self._accepted_memory = 0.0
        if self._is_over(usage, active):
            self.shortage = None
        if self.shortage is None:
            self.shortage = self._find_shortage(usage, active)
        return self.shortage is not before

    def make_error(self) -> RequestError:
        """Make the error that refuses a request, which has not run."""
        seconds = self._rng.uniform(MIN_DELAY_SECONDS, MAX_DELAY_SECONDS)
        return RequestError(
            Failure(
                ErrorKind.OVERLOADED,
                "this instance is near its limits",
                retry_after=datetime.timedelta(seconds=seconds),
            )
        )

    def _is_over(self, usage: Usage, active: int) -> bool:
        if usage.memory > self._short_memory + GROWTH_SHARE:
            self._short_memory, self._steady = usage.memory, 0
        else:
            self._steady += 1
        match self.shortage:
            case Shortage.DESCRIPTORS:
                return usage.descriptors < STOP_SHARE
            case Shortage.MEMORY if (
                active <= self._active_before // 2
                or self._steady >= STEADY_UPDATES
            ):
                # an interpreter keeps much of what ended requests held, and
                # uses it again
                self._accepted_memory = usage.memory + GROWTH_SHARE
                return True
            case Shortage.MEMORY:
                return usage.memory < STOP_SHARE
        return False

    def _find_shortage(self, usage: Usage, active: int) -> Shortage | None:
        if usage.descriptors >= START_SHARE:
            return Shortage.DESCRIPTORS
        if usage.memory < max(START_SHARE, self._accepted_memory):
            return None
        # without requests, a refusal frees nothing
        if not active:
            return None
        self._active_before = active
        self._short_memory, self._steady = usage.memory, 0
        return Shortage.MEMORY
