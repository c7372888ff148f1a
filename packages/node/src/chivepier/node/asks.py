"""Requests as the policy sees them."""

from chivepier.messages import InflightPermit
from chivepier.messages import PermitRequest
from chivepier.node.directory import Directory
from chivepier.policy import Ask
from chivepier.types import Urgency


def make_ask(request: PermitRequest, directory: Directory, now: float) -> Ask:
    """Put an entry's request to the policy.

    :param request: what the entry asks
    :param directory: knows the team's weight and the template's limit
    :param now: monotonic seconds
    :returns: the request
    """
    template = directory.find_template(request.template)
    return Ask(
        request=request.request,
        team=request.team,
        template=request.template,
        model=request.model,
        adapter=request.adapter,
        urgency=Urgency(request.urgency),
        weight=directory.team_weight(request.team),
        prompt_tokens=request.prompt_tokens,
        max_tokens=request.max_tokens,
        prefix=request.prefix,
        zone=request.zone,
        excluded=frozenset(request.excluded),
        arrived=now,
        deadline=now + request.patience,
        queue_limit=template.queue_limit if template else 1,
    )


def restore_ask(inflight: InflightPermit, directory: Directory) -> Ask:
    """Rebuild what was asked from what an entry has in flight.

    :param inflight: the entry's report of one permit
    :param directory: knows the team's weight and the template's model
    :returns: the request, as far as it counts at its target
    """
    template = directory.find_template(inflight.template)
    return Ask(
        request=inflight.request,
        team=inflight.team,
        template=inflight.template,
        model=template.model if template else "",
        urgency=Urgency(inflight.urgency),
        weight=directory.team_weight(inflight.team),
        prompt_tokens=inflight.prompt_tokens,
        max_tokens=inflight.max_tokens,
    )
