"""Where a request runs."""

import attrs

from chivepier.policy.ask import Ask
from chivepier.policy.flight import SLACK_TOKENS
from chivepier.policy.leastinflight import serves
from chivepier.policy.limits import Limits
from chivepier.policy.prefixindex import PREFIX_BLOCK_TOKENS
from chivepier.policy.prefixindex import PrefixIndex
from chivepier.policy.targetstate import TargetState
from chivepier.types import Urgency

URGENT_STREAMS = 2


@attrs.frozen
class Place:
    """A target, prompt tokens to hold there, and tokens not cached."""

    state: TargetState
    prompt: int
    uncached: int
    score: float


class Placement:
    """Weighs cached prefixes against load and zone, where it fits."""

    def __init__(self, limits: Limits):
        self._limits = limits
        self.index = PrefixIndex()

    def choose(
        self,
        ask: Ask,
        chances: tuple,
        borrows: bool,
        states,
        now: float,
    ) -> Place | None:
        """Return the best target with room, or ``None``.

        :param ask: the request
        :param chances: its chances to reach each horizon
        :param borrows: whether its team holds more than its share
        :param states: targets to choose from
        :param now: the time, in seconds
        :returns: where it runs
        """
        best = None
        for state in states:
            if not self._is_open(state, ask, now):
                continue
            place = self._try_target(state, ask, chances, borrows)
            if place is None:
                continue
            if best is None or place.score < best.score:
                best = place
        return best

    def _is_open(self, state: TargetState, ask: Ask, now: float) -> bool:
        if state.gone or now < state.suspect_until:
            return False
        if state.reserved_for and state.reserved_for != ask.request:
            return False
        if not serves(state.view, ask):
            return False
        limit = state.pace.limit
        if ask.urgency == Urgency.URGENT:
            limit += URGENT_STREAMS
        return state.streams < min(state.view.max_streams, limit)

    def _try_target(self, state, ask, chances, borrows) -> Place | None:
        view = state.view
        if not view.capacity_tokens:
            return Place(state, 0, 0, state.streams / view.max_streams)
        if ask.prompt_tokens >= state.refused_sizes[borrows]:
            return None
        shared = state.count_shared(ask.prefix) * PREFIX_BLOCK_TOKENS
        prompt = max(0, ask.prompt_tokens - shared) + SLACK_TOKENS
        spare = self._limits.lend_spare * view.capacity_tokens
        if not state.fits(prompt, chances, spare if borrows else 0.0):
            state.refused_sizes[borrows] = ask.prompt_tokens
            return None
        uncached = ask.prompt_tokens
        if self._limits.affinity:
            hits = self.index.count_hits(view.target, ask.prefix)
            uncached = max(0, uncached - hits * PREFIX_BLOCK_TOKENS)
        pending = state.pending
        if pending and pending + uncached > self._limits.prefill_tokens:
            return None
        score = uncached + pending + self._weigh(state, ask)
        return Place(state, prompt - SLACK_TOKENS, uncached, score)

    def _weigh(self, state: TargetState, ask: Ask) -> float:
        fill = state.used / state.view.capacity_tokens
        score = self._limits.load_tokens * fill * fill
        if ask.zone != state.view.zone:
            score += self._limits.zone_tokens
        return score
