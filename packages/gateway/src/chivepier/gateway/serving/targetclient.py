"""Talking to targets, as an interface."""

import typing

from chivepier.gateway.serving.callerrequest import CallerRequest
from chivepier.gateway.serving.exchange import Exchange
from chivepier.gateway.serving.moved import Moved
from chivepier.gateway.serving.sendoptions import SendOptions
from chivepier.gateway.serving.targetanswer import TargetAnswer
from chivepier.gateway.targets import Liveness
from chivepier.gateway.targets import Target


class TargetClient(typing.Protocol):
    """What serving needs of the protocol towards targets.

    A contact is begun right before the first byte of a call, once its
    connection stands, and hears the head of its answer.
    """

    async def send(
        self,
        target: Target,
        request: CallerRequest,
        options: SendOptions,
        exchange: Exchange,
    ) -> TargetAnswer:
        """Send a request and return the head of its answer.

        :raises NotPermittedError: when the contact must not begin
        :raises NotSentError: when it never left this process
        :raises ConnectionLostError: when no answer came
        """

    async def reserve(
        self, target: Target, tokens: int, seconds: float, exchange: Exchange
    ) -> str | None:
        """Reserve a slot and memory before a request is sent.

        :param tokens: of memory
        :param seconds: for which it is kept unused
        :returns: the reservation's name; ``None`` when there is no room
        :raises NotPermittedError: when the contact must not begin
        :raises NotSentError: when the target can't be reached
        """

    async def move(
        self,
        source: Target,
        request_id: str,
        destination: Target,
        last: bool,
        seconds: float,
        exchange: Exchange,
    ) -> Moved:
        """Copy a live generation's memory to another target.

        :param last: stop the run first
        :param seconds: to wait for the copy
        :raises NotPermittedError: when the contact must not begin
        """

    def hang_up(self, target: Target) -> None:
        """End the connections to a target that are kept for later requests.

        :param target: that has started again
        """

    async def probe(self, target: Target) -> Liveness:
        """Look whether anything listens at a target's address.

        :param target: that a request was lost at
        """

    async def drop(
        self, target: Target, handle: str, exchange: Exchange
    ) -> bool:
        """Free a copy that no generation goes on from.

        :param target: that keeps it
        :param handle: the copy's name
        :returns: whether the target says that it is free
        :raises NotPermittedError: when the contact must not begin
        """
