"""Log lines of the targets that requests are assigned to."""

import math

from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.permits import Permit
from chivepier.gateway.quarantine import shorten
from chivepier.gateway.serving.assignment import Assignment
from chivepier.gateway.serving.plan import Plan
from chivepier.gateway.targets import LoadBalancer
from chivepier.gateway.targets import PaceForecast
from chivepier.types import Clock

# Parts of a prompt that one line names.
MAX_LOGGED_PARTS = 8


class AssignmentLog:
    """Logs why a request goes to its target.

    :param balancer: knows the load of the target
    :param clock: monotonic clock
    :param log: event log of this process
    """

    def __init__(self, balancer: LoadBalancer, clock: Clock, log: EventLog):
        self._balancer = balancer
        self._clock = clock
        self._log = log

    def write(
        self, plan: Plan, assignment: Assignment, forecast: PaceForecast
    ) -> None:
        """Log one assignment.

        :param plan: the plan of the request
        :param assignment: the target, with its permit and reservation
        :param forecast: what the target's pace makes of the request
        """
        target, demand = assignment.target, plan.demand
        load = self._balancer.find_load(target.instance)
        now = self._clock.monotonic()
        self._log.info(
            "placed",
            id=plan.request.id,
            target=target.instance,
            software=target.software_version,
            after=plan.request.last_event,
            ms=round(1000 * (now - plan.request.arrived)),
            heard_ms=round(1000 * (now - target.heard)),
            reserved=assignment.reservation is not None,
            permit_ms=_get_permit_ms(assignment.permit, now),
            prompt=demand.prompt if demand else None,
            output=demand.output if demand else None,
            runs=load.runs,
            tokens=load.tokens,
            reading=load.reading,
            parts=describe_parts(plan),
            **describe_forecast(forecast),
        )


def describe_parts(plan: Plan) -> list[str]:
    """Return the shortened digests of shared parts of a prompt, for the log.

    A line names the first and the last of a long list.
    """
    parts = plan.parts
    if len(parts) > MAX_LOGGED_PARTS:
        half = MAX_LOGGED_PARTS // 2
        parts = parts[:half] + parts[-half:]
    return [shorten(part) for part in parts]


def describe_forecast(forecast: PaceForecast) -> dict:
    """Return the log fields of what is expected of a request at a target."""
    pause, fit = forecast.pause, forecast.fit
    return {
        "pace": forecast.pace,
        "pause_ms": None if pause is None else round(1000 * pause),
        "fit": fit and fit.value,
    }


def _get_permit_ms(permit: Permit, now: float) -> int | None:
    """Return the milliseconds for which a permit is valid, for the log."""
    if math.isinf(permit.expires_at):
        return None
    return round(1000 * (permit.expires_at - now))
