"""Interface of the client for targets."""

import collections.abc
import typing

from chivepier.gateway.serving.callerrequest import CallerRequest
from chivepier.gateway.serving.exchange import Exchange
from chivepier.gateway.serving.identity import Identity
from chivepier.gateway.serving.moveresult import MoveResult
from chivepier.gateway.serving.sendoptions import SendOptions
from chivepier.gateway.serving.targetanswer import TargetAnswer
from chivepier.gateway.targets import Liveness
from chivepier.gateway.targets import Target


class TargetClient(typing.Protocol):
    """The calls to targets that serving needs.

    An implementation calls :meth:`Exchange.begin` once the connection is
    established, right before the first byte, and
    :meth:`Exchange.record_head` with the head of the answer.
    """

    async def send(
        self,
        target: Target,
        request: CallerRequest,
        options: SendOptions,
        exchange: Exchange,
    ) -> TargetAnswer:
        """Send a request and return the head of its answer.

        :raises NotPermittedError: when the exchange must not begin
        :raises NotSentError: when the request was not sent
        :raises ConnectionLostError: when the connection broke before an
            answer
        """

    async def reserve(
        self, target: Target, tokens: int, seconds: float, exchange: Exchange
    ) -> str | None:
        """Reserve a slot and KV cache before a request is sent.

        :param tokens: size of the KV cache in tokens
        :param seconds: how long the reservation is kept unused
        :returns: identifier of the reservation; ``None`` without capacity
        :raises NotPermittedError: when the exchange must not begin
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
    ) -> MoveResult:
        """Copy the KV cache of a running generation to another target.

        :param last: whether to stop the run first
        :param seconds: how long to wait for the copy
        :raises NotPermittedError: when the exchange must not begin
        """

    def is_signed(
        self, fields: collections.abc.Iterable[tuple[str, str]]
    ) -> bool:
        """Tell whether a head bears the signature of a target.

        :param fields: names and values of the head, of another entry too
        """

    def hang_up(self, target: Target) -> None:
        """Close the pooled connections to a target.

        :param target: the target, which has restarted
        """

    async def probe(self, target: Target) -> Liveness:
        """Check whether anything listens at the address of a target.

        :param target: the target at which a request was lost
        """

    async def identify(
        self, target: Target, path: str, exchange: Exchange
    ) -> Identity:
        """Ask which process answers at the address of a target.

        :param target: the incarnation that is asked for
        :param path: the path to ask at
        :raises NotPermittedError: when the exchange must not begin
        """

    async def drop(
        self, target: Target, handle: str, exchange: Exchange
    ) -> bool:
        """Free a copy that no generation is resumed from.

        :param target: the target that holds the copy
        :param handle: identifier of the copy
        :returns: whether the target confirmed that the copy is freed
        :raises NotPermittedError: when the exchange must not begin
        """
