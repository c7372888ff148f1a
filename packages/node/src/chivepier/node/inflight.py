"""One permit in use at its entry."""

import asyncio

import attrs

from chivepier.messages import InflightPermit
from chivepier.messages import PermitAnswer
from chivepier.messages import PermitRequest


@attrs.define(kw_only=True, eq=False)
class Inflight:
    """What the entry knows of a request that it was granted a permit for.

    ``usable_until`` is the monotonic second up to which the request may be
    sent to its target.  ``stopped`` is set when the owner wants the stream
    to end early; ``retry_after`` then says when to come back, in seconds.
    ``users`` counts the streams here that read its generation: the one that
    was granted it, and those that resumed it here.
    """

    request: PermitRequest
    permit: PermitAnswer
    usable_until: float
    tokens: int = 0
    users: int = 1
    stopped: asyncio.Event = attrs.field(factory=asyncio.Event)
    retry_after: float = 0.0

    def stop(self, retry_after: float) -> None:
        """Ask the stream to end.

        :param retry_after: seconds until the caller should come back
        """
        self.retry_after = retry_after
        self.stopped.set()

    def describe(self) -> InflightPermit:
        """Return what an owner is told of it."""
        request = self.request
        return InflightPermit(
            request.request,
            self.permit.permit,
            self.permit.target,
            request.team,
            request.template,
            request.urgency,
            request.prompt_tokens,
            request.max_tokens,
            self.tokens,
        )
