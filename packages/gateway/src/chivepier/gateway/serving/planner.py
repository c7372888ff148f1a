"""Planning requests by the active configuration."""

import datetime
import random

from chivepier.gateway.config import Route
from chivepier.gateway.config import RouteIndex
from chivepier.gateway.config import Service
from chivepier.gateway.config import Team
from chivepier.gateway.serving.callerrequest import CallerRequest
from chivepier.gateway.serving.plan import Plan
from chivepier.gateway.serving.servingstate import ServingState
from chivepier.gateway.targets import Demand
from chivepier.types import ErrorKind
from chivepier.types import Failure
from chivepier.types import RequestError

# Time after which a caller may come back that was not denied: an entry that is
# in touch with the voters knows the newest configuration by then.
RETRY_AFTER = datetime.timedelta(seconds=0.3)


class Planner:
    """Determines the route, team and service of requests.

    :param state: the active configuration
    :param rng: draws the service of a route with several ones, by weight
    """

    def __init__(self, state: ServingState, rng: random.Random):
        self._state = state
        self._rng = rng

    def plan(self, request: CallerRequest) -> Plan:
        """Return the plan of a request.

        :param request: the request of the caller
        :returns: its route, team, service and limits
        :raises RequestError: if there is no configuration yet, no route
            matches or the API key is unknown, or if that can't be told
        """
        index = self._state.index
        if index is None:
            text = "this instance knows no configuration yet"
            raise RequestError.of(ErrorKind.NOT_READY, text)
        route = index.find_route(request.host, request.path)
        if route is None:
            raise self._deny(ErrorKind.NOT_FOUND, "no such route")
        team = self._find_team(index, route, request)
        urgency = route.urgency
        if team is not None and team.urgency is not None:
            urgency = team.urgency
        return Plan(
            request=request,
            route=route,
            service=self._pick_service(index, route),
            team=team.name if team else None,
            urgency=urgency,
            deadline=min(request.deadline, request.arrived + route.timeout),
            demand=_estimate_demand(request, route),
            regions=_find_regions(route, team),
            software_version=request.software_version,
        )

    def _find_team(
        self, index: RouteIndex, route: Route, request: CallerRequest
    ) -> Team | None:
        if not index.requires_key or route.public:
            return None
        team = index.find_team(request.key or "")
        if team is None:
            raise self._deny(ErrorKind.UNAUTHORIZED, "unknown key")
        return team

    def _deny(self, kind: ErrorKind, text: str) -> RequestError:
        # a caller doesn't come back after a denial; a route or key that was
        # added a moment ago is only refused for a moment
        doubt = self._state.find_doubt()
        if doubt is None:
            return RequestError.of(kind, text)
        text = f"{text} in the configuration here: {doubt.value}"
        failure = Failure(ErrorKind.NOT_READY, text, retry_after=RETRY_AFTER)
        return RequestError(failure)

    def _pick_service(self, index: RouteIndex, route: Route) -> Service:
        names = [name for name, _ in route.pools]
        if len(names) > 1:
            # the sum of weights as large as floats are would be infinite
            largest = max(weight for _, weight in route.pools)
            weights = [weight / largest for _, weight in route.pools]
            names = self._rng.choices(names, weights)
        return index.services[names[0]]


def _find_regions(route: Route, team: Team | None) -> frozenset[str] | None:
    """Return the regions that both the route and the team allow."""
    bounds = [route.regions, team.regions if team else None]
    given = [bound for bound in bounds if bound is not None]
    return frozenset.intersection(*given) if given else None


def _estimate_demand(request: CallerRequest, route: Route) -> Demand | None:
    prompt = request.prompt
    if prompt is None:
        return None
    return Demand(
        prompt=prompt.tokens,
        output=prompt.expected_output,
        objective=route.objective,
        gap_objective=route.gap_objective if route.streaming else 0.0,
    )
