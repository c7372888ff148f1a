"""Requests that are let through to see whether a part is still harmful."""

import collections.abc
import random

from chivepier.gateway.quarantine.trial import Trial

# Requests per second that all entries together let through, on average: few
# enough that hardly ever several do at once.
TRIALS_PER_SECOND = 0.5
# Time for which a request that was let through may be sent.
TRIAL_SECONDS = 10.0


class Trials:
    """Lets single requests through once a hold is over.

    If all entries sent all of them again at that moment, a part that still
    ends targets would end many at once. Each entry draws by itself when it may
    let one through, so that no message is needed and none that is lost keeps a
    part held back. A part that is asked for rarely is tried as soon as it
    comes to an entry whose time has passed.

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

    def admit(
        self,
        parts: frozenset[str],
        request: str,
        held_until: float,
        now: float,
    ) -> bool:
        """Tell whether a request may be sent though its parts are suspected.

        :param parts: digests of the suspected parts
        :param request: digest of the request
        :param held_until: when the hold was over, in monotonic seconds
        :param now: current time in monotonic seconds
        """
        trial = self._trials.get(parts)
        if trial is None or trial.held_until != held_until:
            trial = self._draw(parts, held_until, held_until)
        if trial.request is not None:
            if now - trial.admitted_at < TRIAL_SECONDS:
                return trial.request == request
            trial = self._draw(parts, held_until, now)
        if now < trial.due_at:
            return False
        trial.request, trial.admitted_at = request, now
        return True

    def _draw(
        self, parts: frozenset[str], held_until: float, since: float
    ) -> Trial:
        rate = TRIALS_PER_SECOND / max(1, self._count_entries())
        due_at = since + self._rng.expovariate(rate)
        self._trials[parts] = trial = Trial(held_until, due_at)
        return trial

    def forget(self, kept: collections.abc.Collection[frozenset[str]]) -> None:
        """Forget the draws of groups that are suspected no more."""
        for parts in [p for p in self._trials if p not in kept]:
            del self._trials[parts]
