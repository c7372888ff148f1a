"""Every way to reach a target."""

from chivepier.gateway.permits import Permit
from chivepier.gateway.serving.callerrequest import CallerRequest
from chivepier.gateway.serving.callpurpose import CallPurpose
from chivepier.gateway.serving.errors import NotPermittedError
from chivepier.gateway.serving.headerrecorder import HeaderRecorder
from chivepier.gateway.serving.moved import Moved
from chivepier.gateway.serving.moveoutcome import MoveOutcome
from chivepier.gateway.serving.sendgate import SendGate
from chivepier.gateway.serving.sendoptions import SendOptions
from chivepier.gateway.serving.targetanswer import TargetAnswer
from chivepier.gateway.serving.targetclient import TargetClient
from chivepier.gateway.serving.targetexchange import TargetExchange
from chivepier.gateway.targets import Liveness
from chivepier.gateway.targets import Target


class TargetCalls:
    """Asks before each call whether it may go, and hears each answer.

    :param client: the protocol towards targets
    :param gate: knows what may be sent where
    :param remarks: notes what answers say of their targets
    """

    def __init__(
        self, client: TargetClient, gate: SendGate, recorder: HeaderRecorder
    ):
        self._client = client
        self._gate = gate
        self._recorder = recorder

    async def send(
        self,
        target: Target,
        request: CallerRequest,
        options: SendOptions,
        purpose: CallPurpose,
        permit: Permit = Permit(),
    ) -> TargetAnswer:
        """Send a request and return the head of its answer.

        :raises NotPermittedError: when nothing may be sent there now
        :raises NotSentError: when it never left this process
        :raises ConnectionLostError: when no answer came
        """
        exchange = self._open_exchange(target, purpose, permit)
        return await self._client.send(target, request, options, exchange)

    async def reserve(
        self, target: Target, tokens: int, seconds: float
    ) -> str | None:
        """Reserve a slot and memory before a request is sent.

        :param tokens: of memory
        :param seconds: for which it is kept unused
        :returns: the reservation's name; ``None`` when there is no room
        :raises NotPermittedError: when nothing may be sent there now
        :raises NotSentError: when the target can't be reached
        """
        exchange = self._open_exchange(target, CallPurpose.START)
        return await self._client.reserve(target, tokens, seconds, exchange)

    async def move(
        self,
        source: Target,
        request_id: str,
        destination: Target,
        last: bool,
        seconds: float,
    ) -> Moved:
        """Copy a live generation's memory to another target.

        :param last: stop the run first
        :param seconds: to wait for the copy
        """
        try:
            exchange = self._open_exchange(source, CallPurpose.CONTROL)
            return await self._client.move(
                source, request_id, destination, last, seconds, exchange
            )
        except NotPermittedError:
            return Moved(MoveOutcome.HELD_BACK)

    async def drop(self, target: Target, handle: str) -> bool:
        """Free a copy that no generation goes on from.

        :param target: that keeps it
        :param handle: the copy's name
        :returns: whether the target says that it is free
        """
        try:
            exchange = self._open_exchange(target, CallPurpose.CONTROL)
            return await self._client.drop(target, handle, exchange)
        except NotPermittedError:
            # the target frees it by itself some seconds later
            return False

    async def probe(self, target: Target) -> Liveness:
        """Look whether anything listens at a target's address.

        :param target: that a request was lost at
        """
        if not self._gate.may_probe(target):
            return Liveness.UNKNOWN
        return await self._client.probe(target)

    def _open_exchange(
        self, target: Target, purpose: CallPurpose, permit: Permit = Permit()
    ) -> TargetExchange:
        # without this a connection would be made to a target for nothing
        self._gate.check(target, purpose, permit)
        gate, recorder = self._gate, self._recorder
        return TargetExchange(target, purpose, permit, gate, recorder)
