"""Where a request stands among those that wait for room."""

import enum

from chivepier.gateway.serving.plan import Plan

# Share of its objective for which a request leaves the room to what goes
# before it.
EARLY_FRACTION = 0.5
# Share of its objective after which the first event can't come in time, what
# its prompt takes to be read included.
LATE_FRACTION = 1.0
# Objectives after which a request is refused, before its caller leaves.
MAX_WAIT_OBJECTIVES = 3.0
# Share of its objective that a request must have left of its time.
MIN_TIME_LEFT_FRACTION = 0.25
# Ranks of requests that are late come after all others.
LATE_RANK_OFFSET = 10


class WaitStage(enum.Enum):
    """How long a request has waited, by its objective.

    ``EARLY`` ones can still wait for a good place, ``PRESSING`` ones take
    any place that is free now, ``LATE`` ones let all others go first, as
    their callers' answers are late already. ``OVER`` ones are refused.
    """

    EARLY = "early"
    PRESSING = "pressing"
    LATE = "late"
    OVER = "over"


def classify_wait(plan: Plan, now: float, reading: float = 0.0) -> WaitStage:
    """Tell how long a request has waited.

    :param plan: the request's
    :param now: monotonic seconds
    :param reading: seconds that its prompt takes to be read
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


def compute_rank(plan: Plan, stage: WaitStage) -> int:
    """Return a request's place in the order; the lowest goes first.

    :param plan: the request's
    :param stage: how long it has waited
    """
    late = stage in (WaitStage.LATE, WaitStage.OVER)
    return plan.urgency + (LATE_RANK_OFFSET if late else 0)
