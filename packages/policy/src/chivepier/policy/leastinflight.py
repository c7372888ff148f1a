"""A simple policy: the target with the fewest requests in flight."""

import itertools

from chivepier.messages import PermitOutcome
from chivepier.policy.ask import Ask
from chivepier.policy.decisions import Decision
from chivepier.policy.grant import Grant
from chivepier.policy.held import Held
from chivepier.policy.policy import Policy
from chivepier.policy.refusal import Refusal
from chivepier.policy.targetview import TargetView
from chivepier.types import Clock
from chivepier.types import ErrorKind

RETRY_SECONDS = 2.0


class LeastInflight(Policy):
    """First come, first served, up to each target's stream limit."""

    def __init__(self, clock: Clock, permits=None):
        self._clock = clock
        self._permits = permits or itertools.count(1)
        self._targets: dict[str, TargetView] = {}
        self._held: dict[int, Held] = {}
        self._queue: dict[str, Ask] = {}
        self._refusals: list[Refusal] = []

    def set_target(self, view: TargetView) -> None:
        """Add or replace a target."""
        self._targets[view.target] = view

    def remove_target(self, target: str) -> None:
        """Forget a target."""
        self._targets.pop(target, None)

    def submit(self, ask: Ask) -> None:
        """Queue a request, or refuse it when the queue is full."""
        if len(self._queue) >= ask.queue_limit:
            self._refuse(ask, ErrorKind.OVERLOADED, "the queue is full")
            return
        self._queue[ask.request] = ask

    def cancel(self, request: str) -> None:
        """Drop a waiting request."""
        self._queue.pop(request, None)

    def adopt(self, held: Held) -> None:
        """Count a request in flight."""
        self._held[held.permit] = held

    def progress(self, permit: int, tokens: int) -> None:
        """Note tokens delivered."""
        if permit in self._held:
            self._held[permit].tokens = tokens

    def release(
        self, permit: int, tokens: int, outcome: PermitOutcome
    ) -> None:
        """Forget a permit."""
        self._held.pop(permit, None)

    def decide(self) -> list[Decision]:
        """Grant what fits, in order of arrival."""
        decisions: list[Decision] = list(self._refusals)
        self._refusals.clear()
        for ask in list(self._queue.values()):
            decision = self._place(ask)
            if decision is not None:
                del self._queue[ask.request]
                decisions.append(decision)
        return decisions

    def _place(self, ask: Ask) -> Decision | None:
        able = [v for v in self._targets.values() if serves(v, ask)]
        if not able:
            text = f"no target serves {ask.model or ask.template}"
            kind = ErrorKind.NO_TARGET
            return Refusal(ask.request, kind, text, RETRY_SECONDS)
        if self._clock.monotonic() > ask.deadline:
            kind = ErrorKind.OVERLOADED
            return Refusal(ask.request, kind, "waited too long", 1.0)
        counts = {v.target: 0 for v in able}
        for held in self._held.values():
            if held.target in counts:
                counts[held.target] += 1
        best = min(able, key=lambda v: counts[v.target])
        if counts[best.target] >= best.max_streams:
            return None
        permit = next(self._permits)
        self._held[permit] = Held(
            permit=permit,
            ask=ask,
            target=best.target,
            granted=self._clock.monotonic(),
        )
        return Grant(ask.request, permit, best.target)

    def _refuse(self, ask: Ask, kind: ErrorKind, text: str) -> None:
        refusal = Refusal(ask.request, kind, text, RETRY_SECONDS)
        self._refusals.append(refusal)


def serves(view: TargetView, ask: Ask) -> bool:
    """Tell whether a target may take a request.

    :param view: the target
    :param ask: the request
    :returns: whether it stays, has the model and adapter, isn't excluded
    """
    if view.leaving or view.target in ask.excluded:
        return False
    if ask.model and ask.model not in view.models:
        return False
    return not ask.adapter or ask.adapter in view.adapters
