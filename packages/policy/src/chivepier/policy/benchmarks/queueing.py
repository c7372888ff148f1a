"""What the simple policies have in common."""

import abc
import collections

from chivepier.messages import PermitOutcome
from chivepier.policy.ask import Ask
from chivepier.policy.decisions import Decision
from chivepier.policy.grant import Grant
from chivepier.policy.held import Held
from chivepier.policy.leastinflight import serves
from chivepier.policy.policy import Policy
from chivepier.policy.refusal import Refusal
from chivepier.policy.targetview import TargetView
from chivepier.types import Clock
from chivepier.types import ErrorKind

RETRY_SECONDS = 2.0


class Queueing(Policy):
    """One queue, first come first served; :meth:`choose` places the head.

    A request waits up to its deadline; a full queue refuses.
    """

    def __init__(self, clock: Clock, permits):
        self._clock = clock
        self._permits = permits
        self.targets: dict[str, TargetView] = {}
        self.held: dict[int, Held] = {}
        self.counts: dict[str, int] = collections.Counter()
        self._queue: collections.deque[Ask] = collections.deque()
        self._refusals: list[Refusal] = []

    @abc.abstractmethod
    def choose(self, able: list[TargetView]) -> TargetView | None:
        """Pick a target, or ``None`` to wait."""

    def set_target(self, view: TargetView) -> None:
        """Add or replace a target."""
        self.targets[view.target] = view

    def remove_target(self, target: str) -> None:
        """Forget a target."""
        self.targets.pop(target, None)

    def submit(self, ask: Ask) -> None:
        """Queue a request, or refuse it when the queue is full."""
        if len(self._queue) >= ask.queue_limit:
            self._refuse(ask, "the queue is full")
        else:
            self._queue.append(ask)

    def cancel(self, request: str) -> None:
        """Drop a waiting request."""
        kept = [ask for ask in self._queue if ask.request != request]
        self._queue = collections.deque(kept)

    def adopt(self, held: Held) -> None:
        """Count a request in flight."""
        self.held[held.permit] = held
        self.counts[held.target] += 1

    def progress(self, permit: int, tokens: int) -> None:
        """Ignore what is delivered."""

    def release(
        self, permit: int, tokens: int, outcome: PermitOutcome
    ) -> None:
        """Forget a permit."""
        held = self.held.pop(permit, None)
        if held is not None:
            self.counts[held.target] -= 1

    def decide(self) -> list[Decision]:
        """Grant from the head as long as something fits."""
        decisions: list[Decision] = list(self._refusals)
        self._refusals.clear()
        now = self._clock.monotonic()
        while self._queue:
            ask = self._queue[0]
            decision = self._decide_head(ask, now)
            if decision is None:
                break
            self._queue.popleft()
            decisions.append(decision)
        return decisions

    def _decide_head(self, ask: Ask, now: float) -> Decision | None:
        able = [v for v in self.targets.values() if serves(v, ask)]
        if not able:
            text = "no target"
            kind = ErrorKind.NO_TARGET
            return Refusal(ask.request, kind, text, RETRY_SECONDS)
        if now > ask.deadline:
            kind = ErrorKind.OVERLOADED
            return Refusal(ask.request, kind, "waited too long", 1.0)
        view = self.choose(able)
        if view is None:
            return None
        permit = next(self._permits)
        held = Held(permit=permit, ask=ask, target=view.target, granted=now)
        self.adopt(held)
        return Grant(ask.request, permit, view.target)

    def _refuse(self, ask: Ask, text: str) -> None:
        kind = ErrorKind.OVERLOADED
        refusal = Refusal(ask.request, kind, text, RETRY_SECONDS)
        self._refusals.append(refusal)
