"""What must hold of the shared policy, whatever happens in what order."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from chivepier.messages import PermitOutcome
from chivepier.policy import Ask
from chivepier.policy import Grant
from chivepier.policy import Held
from chivepier.policy import Refusal
from chivepier.policy import SharedPolicy
from chivepier.policy import Stop
from chivepier.policy import TargetView
from chivepier.types import ErrorKind
from chivepier.types import ManualClock
from chivepier.types import Urgency

CAPACITY = 4000
STREAMS = 6


def make_view(number: int, **changes) -> TargetView:
    """Build a target that serves model ``m``."""
    fields = {
        "target": f"t{number}",
        "address": "",
        "models": frozenset(("m",)),
        "capacity_tokens": CAPACITY,
        "max_streams": STREAMS,
    }
    return TargetView(**{**fields, **changes})


def make_ask(number: int, clock: ManualClock, **changes) -> Ask:
    """Build a request for model ``m``."""
    now = clock.monotonic()
    fields = {
        "request": f"r{number}",
        "team": "a",
        "template": "t",
        "model": "m",
        "prompt_tokens": 200,
        "max_tokens": 400,
        "arrived": now,
        "deadline": now + 30.0,
    }
    return Ask(**{**fields, **changes})


class Ledger:
    """Drives a policy and checks each decision against its own record."""

    def __init__(self, targets: int = 3):
        self.clock = ManualClock()
        self.policy = SharedPolicy(self.clock)
        self.views = {}
        self.waiting: dict[str, Ask] = {}
        self.held: dict[int, tuple[Ask, str]] = {}
        self.answered: set[str] = set()
        self.granted: list[Ask] = []
        self.refused: list[Refusal] = []
        for number in range(targets):
            self.set_target(make_view(number))

    def set_target(self, view: TargetView) -> None:
        """Announce a target."""
        self.views[view.target] = view
        self.policy.set_target(view)

    def remove_target(self, target: str) -> None:
        """Expire a target."""
        self.views.pop(target, None)
        self.policy.remove_target(target)

    def submit(self, ask: Ask) -> None:
        """Submit a request."""
        self.waiting[ask.request] = ask
        self.policy.submit(ask)
        self.settle()

    def cancel(self, request: str) -> None:
        """Cancel a request."""
        self.waiting.pop(request, None)
        self.policy.cancel(request)
        self.settle()

    def release(self, permit: int, tokens: int, outcome) -> None:
        """Release a permit."""
        self.held.pop(permit, None)
        self.policy.release(permit, tokens, outcome)
        self.settle()

    def advance(self, seconds: float) -> None:
        """Let time pass and the timer fire."""
        self.clock.advance(seconds)
        self.settle()

    def settle(self) -> None:
        """Check what is decided."""
        for decision in self.policy.decide():
            match decision:
                case Grant():
                    self._check_grant(decision)
                case Refusal():
                    self._answer(decision.request)
                    assert 0 <= decision.retry_after < 1e6
                    self.refused.append(decision)
                case Stop():
                    assert decision.permit in self.held

    def _answer(self, request: str) -> Ask:
        assert request not in self.answered, "answered twice"
        self.answered.add(request)
        return self.waiting.pop(request)

    def _check_grant(self, grant: Grant) -> None:
        ask = self._answer(grant.request)
        self.granted.append(ask)
        view = self.views[grant.target]
        assert not view.leaving
        assert grant.target not in ask.excluded
        assert ask.model in view.models
        assert grant.permit not in self.held
        self.held[grant.permit] = ask, grant.target
        mine = [a for a, t in self.held.values() if t == grant.target]
        assert len(mine) <= view.max_streams
        assert sum(a.prompt_tokens for a in mine) <= view.capacity_tokens


STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            (
                "submit",
                "submit",
                "submit",
                "finish",
                "fail",
                "progress",
                "cancel",
                "advance",
                "leave",
                "return",
                "remove",
                "unknown",
            )
        ),
        strategies.integers(0, 1000),
    ),
    max_size=80,
)


def take_step(ledger: Ledger, number: int, step: str, draw: int) -> None:
    """Carry out one drawn step."""
    permits = list(ledger.held)
    permit = permits[draw % len(permits)] if permits else 0
    match step:
        case "submit":
            ask = make_ask(
                number,
                ledger.clock,
                team="abc"[draw % 3],
                urgency=Urgency(draw // 3 % 3),
                prompt_tokens=1 + draw * 5,
                weight=1.0 + draw % 2,
                excluded=frozenset(("t0",) if draw % 5 == 0 else ()),
                prefix=tuple(range(draw % 4)),
                queue_limit=12,
            )
            ledger.submit(ask)
        case "finish":
            ledger.release(permit, draw, PermitOutcome.FINISHED)
        case "fail":
            ledger.release(permit, draw, PermitOutcome.TARGET_FAILED)
        case "progress":
            ledger.policy.progress(permit, draw)
        case "cancel":
            waiting = list(ledger.waiting)
            ledger.cancel(waiting[draw % len(waiting)] if waiting else "?")
        case "advance":
            ledger.advance(draw / 200)
        case "leave":
            ledger.set_target(make_view(draw % 3, leaving=True))
        case "return":
            ledger.set_target(make_view(draw % 3, preemptions=draw))
        case "remove":
            ledger.remove_target(f"t{draw % 3}")
        case "unknown":
            ledger.policy.progress(10**6, draw)
            ledger.release(10**6, draw, PermitOutcome.FINISHED)


@settings(derandomize=True, max_examples=300, deadline=None, database=None)
@given(STEPS)
def test_each_request_is_answered_exactly_once(steps):
    # A request waits for ever, or runs twice, whatever comes between.
    ledger = Ledger()
    for number, (step, draw) in enumerate(steps):
        take_step(ledger, number, step, draw)
    for _ in range(40):
        for permit in list(ledger.held):
            ledger.release(permit, 10, PermitOutcome.FINISHED)
        ledger.advance(1.0)
    assert not ledger.waiting
    assert not ledger.held


@settings(derandomize=True, max_examples=60, deadline=None, database=None)
@given(strategies.lists(strategies.integers(1, 1500), max_size=12))
def test_adopting_and_releasing_leaves_nothing(sizes):
    # What a new owner was told of in flight would never end at its target.
    ledger = Ledger(targets=1)
    fresh = Ledger(targets=1)
    for number, size in enumerate(sizes):
        ask = make_ask(number, ledger.clock, prompt_tokens=size)
        held = Held(
            permit=10**6 + number,
            ask=ask,
            target=f"t{number % 2}",
            granted=0.0,
            tokens=size // 3,
        )
        ledger.policy.adopt(held)
        ledger.policy.adopt(held)
    for number, size in enumerate(sizes):
        ledger.release(10**6 + number, size, PermitOutcome.CANCELLED)
    for ledger_ in (ledger, fresh):
        for number in range(10):
            ledger_.submit(make_ask(100 + number, ledger_.clock))
    assert len(ledger.held) == len(fresh.held)
    ledger.set_target(make_view(1))
    assert ledger.policy._states["t1"].used == 0


def saturate(ledger, seconds, submit):
    """Keep queues filled and end requests at a steady pace."""
    numbers = iter(range(10**6))
    for _ in range(int(seconds * 20)):
        submit(ledger, numbers)
        ledger.advance(0.05)
        for permit in list(ledger.held)[:2]:
            ledger.release(permit, 100, PermitOutcome.FINISHED)


def test_weights_hold_in_saturation():
    # Both teams always have work; "a" has three times the weight of "b",
    # and asks for no more than "b" does.
    ledger = Ledger(targets=1)

    def submit(ledger, numbers):
        for team, weight in (("a", 3.0), ("b", 1.0)):
            waiting = [k for k in ledger.waiting.values() if k.team == team]
            if len(waiting) < 4:
                ask = make_ask(
                    next(numbers), ledger.clock, team=team, weight=weight
                )
                ledger.submit(ask)
                ledger.submit(
                    attrs_copy(ask, f"r{next(numbers)}"),
                )

    saturate(ledger, 60, submit)
    served = [ask.team for ask in ledger.granted]
    share = served.count("a") / len(served)
    assert 0.70 < share < 0.80


def attrs_copy(ask: Ask, request: str) -> Ask:
    """Copy a request under another identifier."""
    import attrs

    return attrs.evolve(ask, request=request)


def test_no_class_starves():
    # Urgent work alone could fill the target; batch work of the same team
    # must still move, at its floor.
    ledger = Ledger(targets=1)

    def submit(ledger, numbers):
        for urgency in Urgency:
            waiting = [
                ask
                for ask in ledger.waiting.values()
                if ask.urgency == urgency
            ]
            for _ in range(4 - len(waiting)):
                ask = make_ask(next(numbers), ledger.clock, urgency=urgency)
                ledger.submit(ask)

    saturate(ledger, 60, submit)
    served = [ask.urgency for ask in ledger.granted]
    assert served.count(Urgency.BATCH) > len(served) * 0.02
    assert served.count(Urgency.URGENT) > len(served) * 0.5


def test_prompt_larger_than_every_target_is_refused_at_once():
    # It would wait at the head of its queue for room that never comes.
    ledger = Ledger()
    ledger.submit(make_ask(1, ledger.clock, prompt_tokens=CAPACITY))
    assert [r.kind for r in ledger.refused] == [ErrorKind.TOO_LARGE]


def test_waiting_requests_are_refused_when_the_last_target_leaves():
    # Callers waited for their deadline after the last target had left.
    ledger = Ledger(targets=1)
    for number in range(12):
        ledger.submit(make_ask(number, ledger.clock))
    assert ledger.waiting
    ledger.set_target(make_view(0, leaving=True))
    ledger.advance(0.2)
    assert not ledger.waiting
    assert {r.kind for r in ledger.refused} == {ErrorKind.NO_TARGET}


def test_failed_target_gets_no_grant_until_it_is_heard_again():
    # A dead engine with an empty record looks like the best place for all.
    ledger = Ledger(targets=2)
    for number in range(4):
        ledger.submit(make_ask(number, ledger.clock))
    target = ledger.held[1][1]
    for permit, (_, other) in list(ledger.held.items()):
        if other == target:
            ledger.release(permit, 0, PermitOutcome.TARGET_FAILED)
    for number in range(4, 8):
        ledger.submit(make_ask(number, ledger.clock))
    assert target not in {t for _, t in ledger.held.values()}


def test_memory_is_bounded_with_many_teams():
    # 49,000 teams come by one after the other; records of idle ones go.
    ledger = Ledger(targets=1)
    for number in range(49_000):
        ask = make_ask(number, ledger.clock, team=f"team{number}")
        ledger.submit(ask)
        for permit in list(ledger.held):
            ledger.release(permit, 20, PermitOutcome.FINISHED)
    assert len(ledger.policy._sharing.teams) <= 1024
    assert len(ledger.policy._lengths) <= 2048
    assert len(ledger.policy._sharing._heap) < 5000


def test_owner_that_took_over_refuses_nobody_before_its_first_grant():
    # Callers who waited through a change of owner were sent away.
    ledger = Ledger(targets=0)
    view = make_view(0, max_streams=1)
    for number in range(3):
        ledger.policy.submit(make_ask(number, ledger.clock))
    ledger.waiting = dict(ledger.policy._sharing.waiting)
    ledger.set_target(view)
    ask = make_ask(99, ledger.clock)
    held = Held(permit=10**6, ask=ask, target="t0", granted=0.0)
    ledger.policy.adopt(held)
    ledger.advance(6.0)
    assert len(ledger.waiting) == 3
    ledger.release(10**6, 5, PermitOutcome.CANCELLED)
    assert len(ledger.held) == 1


def test_prompt_of_nearly_all_memory_runs_alone():
    # The margins together were larger than what it leaves free, and it
    # waited until it was refused though the target was empty.
    ledger = Ledger(targets=1)
    ledger.submit(make_ask(1, ledger.clock, prompt_tokens=CAPACITY - 100))
    assert len(ledger.held) == 1


def test_no_target_is_said_with_the_next_decision():
    # Nothing serves the model: the caller is told at once.  But what came
    # before the owner opened is judged by the targets known when it opens.
    ledger = Ledger(targets=1)
    ledger.submit(make_ask(1, ledger.clock, model="other"))
    assert [r.kind for r in ledger.refused] == [ErrorKind.NO_TARGET]
    early = Ledger(targets=0)
    ask = make_ask(1, early.clock)
    early.waiting[ask.request] = ask
    early.policy.submit(ask)
    early.set_target(make_view(0))
    early.settle()
    assert early.granted == [ask]
