"""Interface of the forwarding to other entries."""

import typing

from chivepier.gateway.serving.callerrequest import CallerRequest
from chivepier.gateway.serving.plan import Plan
from chivepier.gateway.serving.targetanswer import TargetAnswer


class Forwarder(typing.Protocol):
    """Has other entries serve requests."""

    def has_peer(self, plan: Plan) -> bool:
        """Tell whether there is an entry to forward a request to."""

    async def open(
        self, plan: Plan, request: CallerRequest, runs: int
    ) -> tuple[str, TargetAnswer]:
        """Forward a request and return the head of its answer.

        :param plan: the plan of the request
        :param request: the request, which may continue a stream
        :param runs: number of targets that may have run it
        :returns: the name of the entry that serves it, and the answer
        :raises RequestError: when an entry took it and failed
        :raises NotSentError: when no entry took it
        :raises ConnectionLostError: when an entry was lost that may have
            taken it
        """
