"""Forwarding of requests to other entries."""

from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.forwarding.forwardedanswer import ForwardedAnswer
from chivepier.gateway.forwarding.forwardstate import ForwardState
from chivepier.gateway.forwarding.partreader import PART_SECONDS
from chivepier.gateway.forwarding.partreader import PartReader
from chivepier.gateway.forwarding.peerlist import PeerList
from chivepier.gateway.forwarding.records import pack_request
from chivepier.gateway.forwarding.records import unpack_failure
from chivepier.gateway.messages import ForwardPart
from chivepier.gateway.messages import PeerRecord
from chivepier.gateway.metrics import Metrics
from chivepier.gateway.serving import BrokenAnswerError
from chivepier.gateway.serving import CallerRequest
from chivepier.gateway.serving import ConnectionLostError
from chivepier.gateway.serving import FINAL_STATUSES
from chivepier.gateway.serving import NotSentError
from chivepier.gateway.serving import Plan
from chivepier.gateway.serving import ServingState
from chivepier.gateway.serving import TargetClient
from chivepier.types import Clock
from chivepier.types import ErrorKind
from chivepier.types import Ran
from chivepier.types import RequestError
from chivepier.wire import LinkError
from chivepier.wire import Links

# Seconds to connect to another entry.
CONNECT_SECONDS = 0.4
# Entries that may fail to find a target for one request. Each has tried all of
# them, and targets that are full would get as many sends more.
MAX_FAILURES = 2
# Failures of one entry that say little of others, if nothing ran.
LOCAL_FAILURES = frozenset(
    (ErrorKind.NO_TARGET, ErrorKind.DRAINING, ErrorKind.NOT_READY)
)


class ForwardClient:
    """Sends requests to one other entry after the other until one takes it.

    :param name: name of this entry
    :param peers: the entries to choose from
    :param links: links to them
    :param state: the active configuration
    :param clock: source of monotonic time
    :param log: event log of this process
    :param metrics: counts forwarded requests
    :param targets: tells what the signature of a target is
    """

    def __init__(
        self,
        name: str,
        peers: PeerList,
        links: Links,
        state: ServingState,
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
        targets: TargetClient,
    ):
        self._targets = targets
        self._name = name
        self._peers = peers
        self._links = links
        self._state = state
        self._clock = clock
        self._log = log
        self._metrics = metrics

    def has_peer(self, plan: Plan) -> bool:
        """Tell whether there is an entry to forward a request to."""
        peer = self._peers.choose(plan.service.name, plan.regions)
        return peer is not None

    async def open(
        self, plan: Plan, request: CallerRequest, runs: int
    ) -> tuple[str, ForwardedAnswer]:
        """Forward a request and return the head of its answer.

        :param plan: the plan of the request
        :param request: the request, which may continue a stream
        :param runs: number of targets that may have run it
        :returns: the name of the entry that serves it, and the answer
        :raises RequestError: when an entry took it and failed
        :raises NotSentError: when no entry took it
        :raises ConnectionLostError: when an entry was lost that may have
            taken it
        :raises BrokenAnswerError: when its answer has no status
        """
        tried: set[str] = set()
        failures: list[RequestError] = []
        while True:
            peer = self._peers.choose(plan.service.name, plan.regions, tried)
            if peer is None:
                if failures:
                    raise failures[-1]
                raise NotSentError("no entry takes the request")
            tried.add(peer.address)
            try:
                return peer.node, await self._send(peer, request, runs)
            except NotSentError as error:
                self._note_lost(peer, request, "refused", error)
            except ConnectionLostError as error:
                self._note_lost(peer, request, "lost", error)
                raise
            except RequestError as error:
                self._metrics.record_forward("sent", "failed")
                self._log_end(peer, request, error.failure.kind.value)
                failures.append(error)
                if not _may_retry(error) or len(failures) >= MAX_FAILURES:
                    raise

    async def _send(
        self, peer: PeerRecord, request: CallerRequest, runs: int
    ) -> ForwardedAnswer:
        try:
            channel = await self._links.connect(peer.address, CONNECT_SECONDS)
        except LinkError as error:
            raise NotSentError(str(error)) from None
        index = self._state.index
        message = pack_request(
            request,
            self._name,
            index.version if index else -1,
            runs,
            self._clock.monotonic(),
        )
        try:
            # not repeated: it may run there
            part = await channel.request(message, PART_SECONDS)
        except LinkError as error:
            if not error.sent:
                raise NotSentError(str(error)) from None
            raise ConnectionLostError(str(error)) from None
        reader = PartReader(
            self._links, peer.address, channel, part.handle, self._clock
        )
        part = await _read_head(reader, part)
        match ForwardState(part.state):
            case ForwardState.REFUSED:
                raise NotSentError(part.message)
            case ForwardState.FAILED:
                raise RequestError(unpack_failure(part))
            case ForwardState.BROKEN:
                raise ConnectionLostError("the answer was broken off")
        if part.status not in FINAL_STATUSES:
            # entries of earlier releases hand on any three digits
            reader.end()
            raise BrokenAnswerError("the answer has no status")
        self._metrics.record_forward("sent", "answered")
        self._log_end(peer, request, str(part.status))
        return ForwardedAnswer(reader, part, self._targets.is_signed)

    def _note_lost(
        self,
        peer: PeerRecord,
        request: CallerRequest,
        outcome: str,
        error: Exception,
    ) -> None:
        self._peers.avoid(peer.address)
        self._metrics.record_forward("sent", outcome)
        self._log_end(peer, request, outcome, str(error))

    def _log_end(
        self,
        peer: PeerRecord,
        request: CallerRequest,
        outcome: str,
        reason: str = "",
    ) -> None:
        self._log.info(
            "request_forwarded",
            id=request.id,
            peer=peer.node,
            after=request.last_event,
            outcome=outcome,
            reason=reason,
            ms=round(1000 * (self._clock.monotonic() - request.arrived)),
        )


async def _read_head(reader: PartReader, part: ForwardPart) -> ForwardPart:
    reader.take(part)
    try:
        while _is_head_awaited(part):
            part = await reader.read(0)
    except LinkError as error:
        reader.end()
        # the request was sent, even if this read was not
        raise ConnectionLostError(str(error)) from None
    except BaseException:
        reader.end()
        raise
    return part


def _is_head_awaited(part: ForwardPart) -> bool:
    """Tell whether the head may still come: no body stands before it."""
    is_open = ForwardState(part.state) is ForwardState.OPEN
    return is_open and not part.status and not part.data


def _may_retry(error: RequestError) -> bool:
    failure = error.failure
    return failure.ran is Ran.NO and failure.kind in LOCAL_FAILURES
