"""Plan of one request, made when it arrives."""

import functools

import attrs

from chivepier.gateway.config import Repetition
from chivepier.gateway.config import Route
from chivepier.gateway.config import Service
from chivepier.gateway.quarantine import digest_part
from chivepier.gateway.quarantine import digest_request
from chivepier.gateway.serving.callerrequest import CallerRequest
from chivepier.gateway.targets import Demand
from chivepier.gateway.targets import Eligibility


@attrs.frozen(kw_only=True)
class Plan:
    """A request with its route, team and limits.

    :param deadline: monotonic time until which it must be answered
    :param demand: size of the generation; ``None`` for other requests
    :param regions: regions it may be sent to; ``None`` for all
    :param software_version: version of the targets' software, if it goes on
        with a stream; ``None`` for any
    """

    request: CallerRequest
    route: Route
    service: Service
    team: str | None
    urgency: int
    deadline: float
    demand: Demand | None
    regions: frozenset[str] | None = None
    software_version: str | None = None

    @functools.cached_property
    def eligibility(self) -> Eligibility:
        """The targets that it may be sent to."""
        return Eligibility(self.regions, self.software_version)

    @property
    def repeatable(self) -> bool:
        """Whether the request may run again if its outcome is unknown."""
        return self.route.repetition is not Repetition.ONCE

    @functools.cached_property
    def digest(self) -> str:
        """Digest that is equal for identical requests at all entries."""
        request = self.request
        return digest_request(
            self.team,
            request.method.encode(),
            request.host.encode(),
            request.url.encode(),
            request.body,
        )

    @functools.cached_property
    def parts(self) -> tuple[str, ...]:
        """Digests of the parts of the prompt that other requests may share."""
        return tuple(map(digest_part, self.request.shared_parts))
