"""Serving requests that other entries forward."""

import asyncio
import collections.abc

from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.forwarding.answerhandle import draw_handle
from chivepier.gateway.forwarding.forwardsession import ForwardSession
from chivepier.gateway.forwarding.forwardstate import ForwardState
from chivepier.gateway.forwarding.records import unpack_request
from chivepier.gateway.messages import ForwardCancel
from chivepier.gateway.messages import ForwardPart
from chivepier.gateway.messages import ForwardRead
from chivepier.gateway.messages import ForwardRequest
from chivepier.gateway.metrics import Metrics
from chivepier.gateway.serving import BodyMemory
from chivepier.gateway.serving import CallerRequest
from chivepier.gateway.serving import NotSentError
from chivepier.gateway.serving import RequestHandler
from chivepier.gateway.serving import ServingState
from chivepier.types import Clock
from chivepier.types import RequestError
from chivepier.wire import Channel
from chivepier.wire import RefusedError

# Seconds until the first part is sent, so that the other entry soon knows that
# its request has arrived; and until a later one that has nothing new.
FIRST_PART_SECONDS = 0.05
PART_SECONDS = 0.5
# Seconds to wait for the version with which the request was accepted.
CONFIG_SECONDS = 0.3
# Seconds without a read after which the other entry has gone: longer than two
# links take to be replaced as silent.
SILENCE_SECONDS = 3.0
POLL_SECONDS = 0.5


class ForwardServer:
    """Serves forwarded requests as if their callers had come here.

    A forwarded request is never forwarded again. Its answer belongs to the
    entry that sent it, whatever link that reads it over.

    :param handler: handles requests
    :param bodies: limits the memory of their bodies
    :param state: the active configuration
    :param is_leaving: tells whether this entry is about to end
    :param clock: source of monotonic time
    :param log: event log of this process
    :param metrics: counts forwarded requests
    """

    def __init__(
        self,
        *,
        handler: RequestHandler,
        bodies: BodyMemory,
        state: ServingState,
        is_leaving: collections.abc.Callable[[], bool],
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
    ):
        self._handler = handler
        self._bodies = bodies
        self._state = state
        self._is_leaving = is_leaving
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._sessions: dict[int, ForwardSession] = {}
        self._watch: asyncio.Task | None = None

    async def close(self) -> None:
        """End all forwarded requests."""
        tasks = [s.task for s in self._sessions.values() if s.task]
        tasks += [self._watch] if self._watch else []
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def handle(self, message, channel: Channel):
        """Handle a message of another entry.

        :param message: the message
        :param channel: link that it came over
        """
        match message:
            case ForwardRequest():
                return self._open(message, channel)
            case ForwardRead(handle=handle, offset=offset):
                return self._read(channel, handle, offset)
            case ForwardCancel(handle=handle):
                self._cancel(channel, handle)
                return None
            case other:
                raise RefusedError(f"unexpected {type(other).__name__}")

    async def _open(
        self, message: ForwardRequest, channel: Channel
    ) -> ForwardPart:
        arrived = self._clock.monotonic()
        reason = await self._find_refusal(message)
        if reason:
            self._metrics.record_forward("received", "refused")
            self._log.warn(
                "forward_refused",
                id=message.id,
                entry=message.entry,
                reason=reason,
            )
            return ForwardPart(0, ForwardState.REFUSED.value, message=reason)
        request = unpack_request(message, arrived)
        session = ForwardSession(
            draw_handle(),
            channel.peer,
            self._clock,
            _is_unjudged_rest(message, request),
        )
        session.task = asyncio.create_task(
            self._serve(message, request, session, arrived)
        )
        self._sessions[session.handle] = session
        if self._watch is None or self._watch.done():
            self._watch = asyncio.create_task(self._drop_sessions())
        return await session.read(0, FIRST_PART_SECONDS)

    async def _find_refusal(self, message: ForwardRequest) -> str:
        """Return why a request is not taken, empty if it is."""
        if self._is_leaving() or self._state.ends_at is not None:
            return "leaving"
        if self._handler.is_shedding:
            return "near its limits"
        if not self._knows(message.version):
            await self._state.changed.wait(CONFIG_SECONDS)
        if not self._knows(message.version):
            return "an older configuration"
        return ""

    def _knows(self, version: int) -> bool:
        index = self._state.index
        return index is not None and index.version >= version

    async def _serve(
        self,
        message: ForwardRequest,
        request: CallerRequest,
        session: ForwardSession,
        arrived: float,
    ) -> None:
        outcome = "cancelled"
        try:
            with self._bodies.allocate() as allocation:
                allocation.extend(len(request.body))
                await self._handler.serve_forwarded(
                    request, session, message.runs
                )
            outcome = "answered"
        except RequestError as error:
            outcome = error.failure.kind.value
            session.fail(error.failure)
        except NotSentError as error:
            outcome = "refused"
            session.refuse(str(error))
        finally:
            # also where the task ends by an error that nobody has foreseen
            session.abort()
            self._metrics.record_forward("received", outcome)
            self._log.info(
                "forward_ended",
                id=message.id,
                entry=message.entry,
                runs=message.runs,
                outcome=outcome,
                ms=round(1000 * (self._clock.monotonic() - arrived)),
            )

    async def _read(
        self, channel: Channel, handle: int, offset: int
    ) -> ForwardPart:
        session = self._find(channel, handle)
        if session is None:
            return ForwardPart(handle, ForwardState.BROKEN.value)
        return await session.read(offset, PART_SECONDS)

    def _find(self, channel: Channel, handle: int) -> ForwardSession | None:
        session = self._sessions.get(handle)
        if session is None or session.entry != channel.peer:
            return None
        return session

    def _cancel(self, channel: Channel, handle: int) -> None:
        session = self._find(channel, handle)
        if session is None:
            return
        if session.is_ended and not session.task.done():
            # what is left to do after an answer goes on
            return
        del self._sessions[handle]
        session.task.cancel()

    async def _drop_sessions(self) -> None:
        """Drop answers that were read, or that nobody reads any more."""
        while self._sessions:
            await self._clock.sleep(POLL_SECONDS)
            now = self._clock.monotonic()
            for handle, session in list(self._sessions.items()):
                if now - session.read_at > SILENCE_SECONDS:
                    del self._sessions[handle]
                    session.task.cancel()


def _is_unjudged_rest(message: ForwardRequest, request: CallerRequest) -> bool:
    """Tell whether an error would become a part of a stream at its entry.

    What a caller takes up itself looks the same once a target may have run it,
    so a few of these get a failure of this entry in place of the target's.
    """
    has_run = message.runs > 0
    return not message.judges and request.takes_up and has_run
