"""Calls to targets, checked by the send gate."""

import asyncio
import collections.abc
import contextlib

from chivepier.gateway.config import Service
from chivepier.gateway.permits import Claim
from chivepier.gateway.permits import Permit
from chivepier.gateway.reach import Reach
from chivepier.gateway.serving.callerrequest import CallerRequest
from chivepier.gateway.serving.callpurpose import CallPurpose
from chivepier.gateway.serving.errors import NotPermittedError
from chivepier.gateway.serving.errors import UnreachableError
from chivepier.gateway.serving.headerrecorder import HeaderRecorder
from chivepier.gateway.serving.identity import Identity
from chivepier.gateway.serving.moveoutcome import MoveOutcome
from chivepier.gateway.serving.moveresult import MoveResult
from chivepier.gateway.serving.sendgate import RESUME_URGENCY
from chivepier.gateway.serving.sendgate import SendGate
from chivepier.gateway.serving.sendoptions import SendOptions
from chivepier.gateway.serving.targetanswer import TargetAnswer
from chivepier.gateway.serving.targetclient import TargetClient
from chivepier.gateway.serving.targetexchange import IsHeld
from chivepier.gateway.serving.targetexchange import never_held
from chivepier.gateway.serving.targetexchange import TargetExchange
from chivepier.gateway.targets import Liveness
from chivepier.gateway.targets import Target

# Seconds for which the question who answers at a target waits for a permit.
IDENTIFY_PERMIT_SECONDS = 0.3


class TargetCalls:
    """Checks each call before it is made and records the answer's head.

    :param client: client for the protocol of targets
    :param gate: decides what may be sent to which target
    :param recorder: records what answer heads report
    :param reach: records which targets could be connected to
    """

    def __init__(
        self,
        client: TargetClient,
        gate: SendGate,
        recorder: HeaderRecorder,
        reach: Reach,
    ):
        self._reach = reach
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
        patience: float | None = None,
        is_held: IsHeld = never_held,
    ) -> TargetAnswer:
        """Send a request and return the head of its answer.

        :param patience: seconds without an answer after which the targets may
            be out of reach; ``None`` for any number
        :param is_held: tells whether the request is quarantined
        :raises NotPermittedError: when the target must not be called now
        :raises NotSentError: when the request was not sent
        :raises ConnectionLostError: when the connection broke before an
            answer
        """
        exchange = self._open_exchange(target, purpose, permit, is_held)
        with (
            self._record_failure(target),
            self._record_silence(target, patience),
        ):
            return await self._client.send(target, request, options, exchange)

    async def reserve(
        self, target: Target, tokens: int, seconds: float
    ) -> str | None:
        """Reserve a slot and KV cache before a request is sent.

        :param tokens: size of the KV cache in tokens
        :param seconds: how long the reservation is kept unused
        :returns: identifier of the reservation; ``None`` without capacity
        :raises NotPermittedError: when the target must not be called now
        :raises NotSentError: when the target can't be reached
        """
        exchange = self._open_exchange(target, CallPurpose.START)
        with self._record_failure(target):
            return await self._client.reserve(
                target, tokens, seconds, exchange
            )

    async def move(
        self,
        source: Target,
        request_id: str,
        destination: Target,
        last: bool,
        seconds: float,
    ) -> MoveResult:
        """Copy the KV cache of a running generation to another target.

        :param last: whether to stop the run first
        :param seconds: how long to wait for the copy
        """
        try:
            exchange = self._open_exchange(source, CallPurpose.CONTROL)
            return await self._client.move(
                source, request_id, destination, last, seconds, exchange
            )
        except NotPermittedError:
            return MoveResult(MoveOutcome.HELD_BACK)

    async def drop(self, target: Target, handle: str) -> bool:
        """Free a copy that no generation is resumed from.

        :param target: the target that holds the copy
        :param handle: identifier of the copy
        :returns: whether the target confirmed that the copy is freed
        """
        try:
            exchange = self._open_exchange(target, CallPurpose.CONTROL)
            return await self._client.drop(target, handle, exchange)
        except NotPermittedError:
            # the target frees an unused copy by itself after some seconds
            return False

    async def probe(self, target: Target) -> Liveness:
        """Check whether anything listens at the address of a target.

        :param target: the target at which a request was lost
        """
        if not self._gate.may_probe(target):
            return Liveness.UNKNOWN
        return await self._client.probe(target)

    async def identify(self, target: Target, service: Service) -> Identity:
        """Ask which process answers at the address of a target.

        :param target: the incarnation that is asked for
        :param service: its service, which names the path to ask at
        """
        path = service.health_path
        if path is None or not self._gate.may_probe(target):
            return Identity.UNASKED
        try:
            permit = await self._take_permit(target, service)
            exchange = self._open_exchange(target, CallPurpose.CONTROL, permit)
            return await self._client.identify(target, path, exchange)
        except NotPermittedError:
            return Identity.UNASKED

    async def _take_permit(self, target: Target, service: Service) -> Permit:
        """Take a permit, which a target that is limited or cold needs.

        :raises NotPermittedError: when there is none soon
        """
        claim = Claim("", RESUME_URGENCY, IDENTIFY_PERMIT_SECONDS)
        permit = await self._gate.acquire_permit(service, target, claim)
        if permit is None:
            self._gate.refuse("permit")
        return permit

    async def connect(self, target: Target) -> Liveness | None:
        """Check whether a target can be connected to, without a loss there.

        :param target: the target
        :returns: the result, ``None`` when it must not be called now
        """
        if not self._gate.may_probe(target):
            return None
        return await self._client.probe(target)

    @contextlib.contextmanager
    def _record_silence(
        self, target: Target, patience: float | None
    ) -> collections.abc.Iterator[None]:
        if patience is None:
            yield
            return
        timer = asyncio.get_running_loop().call_later(
            patience, self._reach.note_silent, target, self._reach.now()
        )
        try:
            yield
        finally:
            timer.cancel()

    @contextlib.contextmanager
    def _record_failure(
        self, target: Target
    ) -> collections.abc.Iterator[None]:
        try:
            yield
        except UnreachableError as error:
            self._reach.note_failed(target, str(error), error.hung)
            raise

    def _open_exchange(
        self,
        target: Target,
        purpose: CallPurpose,
        permit: Permit = Permit(),
        is_held: IsHeld = never_held,
    ) -> TargetExchange:
        exchange = TargetExchange(
            target,
            purpose,
            permit,
            self._gate,
            self._recorder,
            self._reach,
            is_held,
        )
        # checked here already, so that no connection is made in vain
        exchange.check()
        return exchange
