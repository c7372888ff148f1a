"""Where a request stands among those that wait for room."""

import enum

from chivepier.gateway.serving.plan import Plan

# Share of its objective for which a request leaves the room to what goes
# before it.
EARLY_SHARE = 0.5
# Share of its objective after which the first event can't come in time, what
# its prompt takes to be read included.
LATE_SHARE = 1.0
# Objectives after which a request is refused, before its caller leaves.
REFUSED_SHARE = 3.0
# Share of its objective that a request must have left of its time.
LEAST_SHARE = 0.25
# Ranks of requests that are late come after all others.
LATE_RANK = 10


class Stage(enum.Enum):
    """How long a request has waited, by its objective.

    ``EARLY`` ones can still wait for a good place, ``PRESSING`` ones take
    any place that is free now, ``LATE`` ones let all others go first, as
    their callers' answers are late already. ``OVER`` ones are refused.
    """

    EARLY = "early"
    PRESSING = "pressing"
    LATE = "late"
    OVER = "over"


def find_stage(plan: Plan, now: float, reading: float = 0.0) -> Stage:
    """Tell how long a request has waited.

    :param plan: the request's
    :param now: monotonic seconds
    :param reading: seconds that its prompt takes to be read
    """
    waited = (now - plan.request.arrived) / plan.route.objective
    left = (plan.deadline - now) / plan.route.objective
    if left < LEAST_SHARE:
        return Stage.OVER
    if waited < EARLY_SHARE:
        return Stage.EARLY
    if waited + reading / plan.route.objective < LATE_SHARE:
        return Stage.PRESSING
    if waited < REFUSED_SHARE:
        return Stage.LATE
    return Stage.OVER


def find_rank(plan: Plan, stage: Stage) -> int:
    """Return a request's place in the order; the lowest goes first.

    :param plan: the request's
    :param stage: how long it has waited
    """
    late = stage in (Stage.LATE, Stage.OVER)
    return plan.urgency + (LATE_RANK if late else 0)
