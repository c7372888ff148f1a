"""Requests that are let through to see whether a part is still harmful."""

import collections.abc
import random

import attrs

# Interval at which each entry draws whether it may let a request through.
SLOT_SECONDS = 1.0
# Requests that all entries together let through in an interval, on average:
# few enough that hardly ever several do at once.
TRIALS_PER_SLOT = 0.5
# Time for which a request that was let through may be sent.
TRIAL_SECONDS = 10.0


@attrs.define
class Trial:
    """The draw of one interval for one group of parts.

    :param drawn_at: when the interval began, in monotonic seconds
    :param granted: whether a request may be let through
    :param request: digest of the request that was let through, if any
    """

    drawn_at: float
    granted: bool
    request: str | None = None


class Trials:
    """Lets single requests through once a hold is over.

    If all entries sent all of them again at that moment, a part that still
    ends targets would end many at once. Each entry draws by itself, so that
    no message is needed and none that is lost keeps a part held back.

    :param count_entries: returns the number of entries
    :param rng: random number generator
    """

    def __init__(
        self,
        count_entries: collections.abc.Callable[[], int],
        rng: random.Random,
    ):
        self._count_entries = count_entries
        self._rng = rng
        self._trials: dict[frozenset[str], Trial] = {}

    def admit(self, parts: frozenset[str], request: str, now: float) -> bool:
        """Tell whether a request may be sent though its parts are suspected.

        :param parts: digests of the suspected parts
        :param request: digest of the request
        :param now: current time in monotonic seconds
        """
        trial = self._trials.get(parts)
        if trial is not None and trial.request is not None:
            if now - trial.drawn_at < TRIAL_SECONDS:
                return trial.request == request
        if trial is None or now - trial.drawn_at >= SLOT_SECONDS:
            share = TRIALS_PER_SLOT / max(1, self._count_entries())
            trial = Trial(now, self._rng.random() < share)
            self._trials[parts] = trial
        if trial.granted and trial.request is None:
            trial.request = request
            return True
        return False

    def forget(self, kept: collections.abc.Collection[frozenset[str]]) -> None:
        """Forget the draws of groups that are suspected no more."""
        for parts in [p for p in self._trials if p not in kept]:
            del self._trials[parts]
