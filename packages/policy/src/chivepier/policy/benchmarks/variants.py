"""The shared policy with all, and with no, knowledge of lengths."""

import itertools

from chivepier.policy.ask import Ask
from chivepier.policy.benchmarks.call import Call
from chivepier.policy.buckets import HORIZONS
from chivepier.policy.lengthprofile import LengthProfile
from chivepier.policy.lengths import Lengths
from chivepier.policy.sharedpolicy import SharedPolicy


class KnownProfile(LengthProfile):
    """One true length."""

    def __init__(self, length: int):
        self._length = length

    def survive(self, tokens: int) -> tuple[float, ...]:
        """Return 1 up to the length, then 0."""
        left = self._length - tokens
        return tuple(float(not h or h < left) for h in HORIZONS)

    def expect(self, tokens: int) -> float:
        """Return the length."""
        return float(self._length)

    def quantile(self, part: float, tokens: int = 0) -> float:
        """Return the length."""
        return float(self._length)


class Oracle(Lengths):
    """Knows every length, as nobody can: the limit to come close to."""

    def __init__(self, calls: list[Call]):
        self._calls = calls

    def profile(self, ask: Ask) -> LengthProfile:
        """Look the length up."""
        number = int(ask.request[1:].split(".")[0])
        return KnownProfile(self._calls[number].length)


class Blind(Lengths):
    """Knows nothing: counts only the memory that is in use now."""

    def __init__(self) -> None:
        self._profile = KnownProfile(1)

    def profile(self, ask: Ask) -> LengthProfile:
        """Return the same for every request."""
        return self._profile


def make_oracle(calls: list[Call]):
    """Return a factory of the policy that knows all lengths.

    :param calls: the calls of the run
    """
    return lambda clock, permits: SharedPolicy(
        clock, permits, lengths=Oracle(calls)
    )


def make_blind(clock, permits) -> SharedPolicy:
    """Return the policy without its estimator."""
    return SharedPolicy(clock, permits or itertools.count(1), lengths=Blind())
