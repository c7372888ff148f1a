"""Which streams are ended before memory runs out."""

from chivepier.policy import Ask
from chivepier.policy import Held
from chivepier.policy import Limits
from chivepier.policy import SharedPolicy
from chivepier.policy import Stop
from chivepier.policy import TargetView
from chivepier.types import ManualClock
from chivepier.types import Urgency


def fill(policy, permit, urgency, tokens):
    """Adopt one request of 200 prompt tokens that has so many more."""
    ask = Ask(
        request=f"r{permit}",
        team="a",
        template="t",
        model="m",
        urgency=urgency,
        prompt_tokens=200,
        max_tokens=4000,
    )
    held = Held(permit=permit, ask=ask, target="t0", granted=0.0)
    policy.adopt(held)
    policy.progress(permit, tokens)


def find_stopped(stop_early):
    """Overfill a target and return the permits that are stopped."""
    clock = ManualClock()
    policy = SharedPolicy(clock, limits=Limits(stop_early=stop_early))
    policy.set_target(
        TargetView(target="t0", address="", capacity_tokens=1150)
    )
    fill(policy, 1, Urgency.URGENT, 10)
    fill(policy, 2, Urgency.BATCH, 300)
    fill(policy, 3, Urgency.BATCH, 20)
    fill(policy, 4, Urgency.BATCH, 40)
    stops = policy.decide()
    clock.advance(1.0)
    stops += policy.decide()
    return [stop.permit for stop in stops if isinstance(stop, Stop)]


def test_least_harmful_stream_is_stopped_once():
    # The urgent stream, or the one that had delivered most, was stopped.
    assert find_stopped(True) == [3]


def test_nothing_is_stopped_unless_asked_for():
    # Measured: callers of stopped streams wait longer than preempted ones.
    assert find_stopped(False) == []
