"""Every way to reach a target."""

from chivepier.gateway.permits import Permit
from chivepier.gateway.serving.callerrequest import CallerRequest
from chivepier.gateway.serving.errand import Errand
from chivepier.gateway.serving.errors import NotPermittedError
from chivepier.gateway.serving.moveoutcome import MoveOutcome
from chivepier.gateway.serving.moveresult import MoveResult
from chivepier.gateway.serving.remarks import Remarks
from chivepier.gateway.serving.sendgate import SendGate
from chivepier.gateway.serving.sendorder import SendOrder
from chivepier.gateway.serving.targetanswer import TargetAnswer
from chivepier.gateway.serving.targetcontact import TargetContact
from chivepier.gateway.serving.targetport import TargetPort
from chivepier.gateway.targets import Liveness
from chivepier.gateway.targets import Target


class TargetCalls:
    """Asks before each call whether it may go, and hears each answer.

    :param port: the protocol towards targets
    :param gate: knows what may be sent where
    :param remarks: notes what answers say of their targets
    """

    def __init__(self, port: TargetPort, gate: SendGate, remarks: Remarks):
        self._port = port
        self._gate = gate
        self._remarks = remarks

    async def send(
        self,
        target: Target,
        request: CallerRequest,
        order: SendOrder,
        errand: Errand,
        permit: Permit = Permit(),
    ) -> TargetAnswer:
        """Send a request and return the head of its answer.

        :raises NotPermittedError: when nothing may be sent there now
        :raises NotSentError: when it never left this process
        :raises LostError: when no answer came
        """
        contact = self._open(target, errand, permit)
        return await self._port.send(target, request, order, contact)

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
        contact = self._open(target, Errand.START)
        return await self._port.reserve(target, tokens, seconds, contact)

    async def move(
        self,
        source: Target,
        request_id: str,
        destination: Target,
        last: bool,
        seconds: float,
    ) -> MoveResult:
        """Copy a live generation's memory to another target.

        :param last: stop the run first
        :param seconds: to wait for the copy
        """
        try:
            contact = self._open(source, Errand.ORDER)
            return await self._port.move(
                source, request_id, destination, last, seconds, contact
            )
        except NotPermittedError:
            return MoveResult(MoveOutcome.HELD_BACK)

    async def drop(self, target: Target, handle: str) -> bool:
        """Free a copy that no generation goes on from.

        :param target: that keeps it
        :param handle: the copy's name
        :returns: whether the target says that it is free
        """
        try:
            contact = self._open(target, Errand.ORDER)
            return await self._port.drop(target, handle, contact)
        except NotPermittedError:
            # the target frees it by itself some seconds later
            return False

    async def probe(self, target: Target) -> Liveness:
        """Look whether anything listens at a target's address.

        :param target: that a request was lost at
        """
        if not self._gate.may_look(target):
            return Liveness.UNKNOWN
        return await self._port.probe(target)

    def _open(
        self, target: Target, errand: Errand, permit: Permit = Permit()
    ) -> TargetContact:
        # without this a connection would be made to a target for nothing
        self._gate.check(target, errand, permit)
        gate, remarks = self._gate, self._remarks
        return TargetContact(target, errand, permit, gate, remarks)
