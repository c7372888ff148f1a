"""A stream that a caller goes on with, at any entry."""

import asyncio
import collections.abc
import contextlib

from chivepier.messages import PermitOutcome
from chivepier.node.adoption import Adoption
from chivepier.node.directory import Service
from chivepier.node.ending import end_generation
from chivepier.node.engineclient import EngineClient
from chivepier.node.entry import Entry
from chivepier.node.handle import Handle
from chivepier.node.relay import Relay
from chivepier.node.ssebuffer import SseBuffer
from chivepier.node.streammeter import StreamMeter
from chivepier.types import ErrorKind
from chivepier.types import RequestError


class Resumption:
    """Reads a generation on that another entry may have started.

    The handle says where it runs; nothing else of the first entry is
    needed, so it may be dead.  The permit under which it was started passes
    to this entry; while its owner doesn't answer, the stream goes on without
    (see :class:`Adoption`).

    :param handle: what the caller's ``Last-Event-ID`` holds, checked
    :param last: index of the last event that the caller has
    :param service: the template as the caller's team may use it
    """

    def __init__(
        self, entry: Entry, handle: Handle, last: int, service: Service
    ):
        self._entry = entry
        loop = asyncio.get_running_loop()
        sealed = handle.seal(entry.cluster.machine.secret)
        self._meter = StreamMeter(
            entry.metrics,
            handle.team,
            service.urgency.name.lower(),
            loop.time(),
        )
        self._meter.note_resumed(loop.time())
        self._client = EngineClient(
            entry.http, handle.address, handle.generation
        )
        self._buffer = SseBuffer(
            f"{sealed}.".encode(), handle.generation.encode(), last + 1
        )
        self._relay = Relay(
            self._client, self._buffer, entry.patience, self._meter
        )
        self._adoption = Adoption(entry, handle, service, self._relay.stop)
        entry.metrics.resumes.inc()

    async def stream(self) -> collections.abc.AsyncIterator[bytes]:
        """Yield the events after the last one.

        :raises RequestError: when it can't be read to its end
        """
        linger = 0.0
        outcome = PermitOutcome.CANCELLED
        events = self._relay.read()
        try:
            async with contextlib.aclosing(events):
                async for data in events:
                    self._adoption.report(
                        self._buffer.following, self._relay.finished
                    )
                    yield data
            outcome = PermitOutcome.FINISHED
        except RequestError as error:
            if error.failure.kind is not ErrorKind.STOPPED_EARLY:
                outcome = PermitOutcome.TARGET_FAILED
            raise
        except (GeneratorExit, asyncio.CancelledError):
            linger = self._entry.patience.resumption
            raise
        finally:
            self._entry.background.spawn(self._finish(outcome, linger))

    async def _finish(self, outcome: PermitOutcome, linger: float) -> None:
        tokens = self._buffer.following
        self._meter.end(tokens)
        try:
            if not self._relay.finished and not self._relay.over:
                await self._end(linger)
        finally:
            await self._adoption.release(outcome, tokens)

    async def _end(self, linger: float) -> None:
        inflight = self._adoption.inflight
        if inflight is not None:
            await end_generation(self._entry, self._client, inflight, linger)
            return
        await asyncio.sleep(linger)
        await self._client.cancel()
