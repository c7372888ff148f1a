"""Stages and ranks of requests that wait for capacity."""

import enum

from chivepier.gateway.serving.plan import Plan

# Fraction of its latency objective for which a request leaves free room to the
# requests ahead of it.
EARLY_FRACTION = 0.5
# Fraction of its objective, including the prefill of its prompt, after
# which a request can no longer get its first event in time.
LATE_FRACTION = 1.0
# Multiple of its objective after which a request is rejected, before its
# caller gives up.
MAX_WAIT_OBJECTIVES = 3.0
# Minimum time left before its deadline, as a fraction of its objective.
MIN_TIME_LEFT_FRACTION = 0.25
# Added to the ranks of late requests, which come after all others.
LATE_RANK_OFFSET = 10


class WaitStage(enum.Enum):
    """How long a request has waited, relative to its latency objective.

    ``EARLY`` requests leave free room to the requests ahead of them,
    ``PRESSING`` ones take any free room, ``LATE`` ones, which miss their
    objective anyway, let all others go first, and ``OVER`` ones are rejected.
    """

    EARLY = "early"
    PRESSING = "pressing"
    LATE = "late"
    OVER = "over"


def classify_wait(plan: Plan, now: float, reading: float = 0.0) -> WaitStage:
    """Return the wait stage of a request.

    :param plan: the plan of the request
    :param now: current monotonic time in seconds
    :param reading: expected seconds to prefill its prompt
    """
    waited = (now - plan.request.arrived) / plan.route.objective
    left = (plan.deadline - now) / plan.route.objective
    if left < MIN_TIME_LEFT_FRACTION:
        return WaitStage.OVER
    if waited < EARLY_FRACTION:
        return WaitStage.EARLY
    if waited + reading / plan.route.objective < LATE_FRACTION:
        return WaitStage.PRESSING
    if waited < MAX_WAIT_OBJECTIVES:
        return WaitStage.LATE
    return WaitStage.OVER


def may_await_fit(plan: Plan, now: float, reading: float) -> bool:
    """Tell whether a request may wait for a target that suits it.

    It takes any target rather than miss its first event: a stream with too
    long a pause is worth more than one that begins too late as well.

    :param plan: the plan of the request
    :param now: current monotonic time in seconds
    :param reading: expected seconds to prefill its prompt at the slowest
        target
    """
    waited = (now - plan.request.arrived) / plan.route.objective
    share = reading / plan.route.objective
    return waited < EARLY_FRACTION and waited + share < LATE_FRACTION


def compute_rank(plan: Plan, stage: WaitStage) -> int:
    """Return the queue rank of a request; the lowest goes first.

    :param plan: the plan of the request
    :param stage: its wait stage
    """
    late = stage in (WaitStage.LATE, WaitStage.OVER)
    return plan.urgency + (LATE_RANK_OFFSET if late else 0)
