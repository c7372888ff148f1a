"""A generation that is being relayed."""

import asyncio
import typing

import attrs

from chivepier.gateway.serving.callerrequest import CallerRequest
from chivepier.gateway.serving.handoff import Handoff
from chivepier.gateway.targets import Target

if typing.TYPE_CHECKING:
    from chivepier.gateway.config import Service


@attrs.define(eq=False)
class LiveRun:
    """Where a generation runs, and where it goes on when it must leave.

    :param request: the caller's
    :param service: whose targets may run it
    :param target: where it runs
    :param tokens: memory it is expected to take in the end
    :param number: of the last event that the caller has
    :param handoff: set while its memory is being moved elsewhere
    :param stopped: whether its target was told to stop it for a move
    :param backup: the target that keeps a growing copy of its memory
    """

    request: CallerRequest
    service: "Service"
    target: Target
    tokens: int
    number: int = 0
    handoff: asyncio.Future[Handoff | None] | None = None
    stopped: bool = False
    backup: Target | None = None
