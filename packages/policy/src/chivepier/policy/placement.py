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


WINDOW = 8


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
        self._turn = 0
        self.index = PrefixIndex()

    def choose(
        self,
        ask: Ask,
        chances: tuple,
        lean: float,
        states: list[TargetState],
    ) -> Place | None:
        """Return the best target with room, or ``None``.

        Scores are cheap, room is not: targets are asked for room from the
        best score on.

        :param ask: the request
        :param chances: its chances to reach each horizon
        :param lean: from 0 to 1, how much its team holds already
        :param states: targets to choose from
        :returns: where it runs
        """
        size = ask.prompt_tokens
        part = self._limits.lend_spare * lean
        scored = []
        for order, state in enumerate(self._sample(ask, states)):
            view = state.view
            if size + part * view.capacity_tokens >= state.refused_size:
                continue
            if self._is_open(state, ask) and serves(view, ask):
                uncached = self._count_uncached(state, ask)
                score = uncached + self._weigh(state, ask)
                scored.append((score, order, uncached, state))
        scored.sort()
        for score, _, uncached, state in scored:
            prompt = self._find_room(state, ask, chances, part)
            if prompt is not None:
                return Place(state, prompt, uncached, score)
        return None

    def _sample(self, ask: Ask, states: list[TargetState]):
        # with many targets some are as good as all, and cost less
        if len(states) <= WINDOW:
            return states
        self._turn = (self._turn + WINDOW) % len(states)
        found = (states[self._turn :] + states)[:WINDOW]
        last = self.index.find_last(ask.prefix)
        return found + [
            state
            for state in states
            if state.view.target == last and state not in found
        ]

    def _is_open(self, state: TargetState, ask: Ask) -> bool:
        if state.reserved_for and state.reserved_for != ask.request:
            return False
        streams = len(state.flights)
        if ask.urgency == Urgency.URGENT:
            streams -= URGENT_STREAMS
        return streams < state.pace.limit

    def _count_uncached(self, state: TargetState, ask: Ask) -> int:
        if not self._limits.affinity:
            return ask.prompt_tokens
        hits = self.index.count_hits(state.view.target, ask.prefix)
        return max(0, ask.prompt_tokens - hits * PREFIX_BLOCK_TOKENS)

    def _find_room(self, state, ask, chances, part) -> int | None:
        capacity = state.view.capacity_tokens
        if not capacity:
            return 0
        shared = state.count_shared(ask.prefix) * PREFIX_BLOCK_TOKENS
        prompt = max(0, ask.prompt_tokens - shared)
        spare = part * capacity
        if state.fits(prompt + SLACK_TOKENS, chances, spare):
            return prompt
        state.refused_size = ask.prompt_tokens + spare
        return None

    def _weigh(self, state: TargetState, ask: Ask) -> float:
        view = state.view
        if view.capacity_tokens:
            fill = state.used / view.capacity_tokens
        else:
            fill = len(state.flights) / view.max_streams
        score = self._limits.load_tokens * fill * fill + state.pending
        if ask.zone != view.zone:
            score += self._limits.zone_tokens
        return score
