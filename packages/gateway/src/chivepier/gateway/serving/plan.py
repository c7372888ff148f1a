"""What is to be done for one request, decided when it arrives."""

import functools

import attrs

from chivepier.gateway.config import Repetition
from chivepier.gateway.config import Route
from chivepier.gateway.config import Service
from chivepier.gateway.quarantine import digest_request
from chivepier.gateway.serving.callerrequest import CallerRequest
from chivepier.gateway.targets import Demand


@attrs.frozen(kw_only=True)
class Plan:
    """A request with its route, team and limits.

    :param deadline: when it must be answered, in monotonic seconds
    :param demand: set for generations
    :param regions: that it may reach; ``None`` for all
    """

    request: CallerRequest
    route: Route
    service: Service
    team: str | None
    urgency: int
    deadline: float
    demand: Demand | None
    regions: frozenset[str] | None = None

    @property
    def repeatable(self) -> bool:
        """Whether it may run again when its outcome is unknown."""
        return self.route.repetition is not Repetition.ONCE

    @functools.cached_property
    def digest(self) -> str:
        """What the same request has whenever and wherever it comes."""
        request = self.request
        return digest_request(
            self.team,
            request.method.encode(),
            request.host.encode(),
            request.url.encode(),
            request.body,
        )
