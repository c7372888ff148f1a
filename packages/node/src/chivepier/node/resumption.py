"""A stream that a caller goes on with, at any entry."""

import asyncio
import collections.abc
import contextlib

from chivepier.node.engineclient import EngineClient
from chivepier.node.entry import Entry
from chivepier.node.handle import Handle
from chivepier.node.relay import Relay
from chivepier.node.ssebuffer import SseBuffer
from chivepier.node.streammeter import StreamMeter


class Resumption:
    """Reads a generation on that another entry may have started.

    The handle says where it runs; nothing else of the first entry is
    needed, so it may be dead.  It runs under the first entry's permit, which
    stays counted until the generation has ended.

    :param handle: what the caller's ``Last-Event-ID`` holds, checked
    :param last: index of the last event that the caller has
    """

    def __init__(self, entry: Entry, handle: Handle, last: int, urgency: str):
        self._entry = entry
        loop = asyncio.get_running_loop()
        sealed = handle.seal(entry.cluster.machine.secret)
        self._meter = StreamMeter(
            entry.metrics, handle.team, urgency, loop.time()
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
        entry.metrics.resumes.inc()

    async def stream(self) -> collections.abc.AsyncIterator[bytes]:
        """Yield the events after the last one.

        :raises RequestError: when it can't be read to its end
        """
        linger = 0.0
        events = self._relay.read()
        try:
            async with contextlib.aclosing(events):
                async for data in events:
                    yield data
        except (GeneratorExit, asyncio.CancelledError):
            linger = self._entry.patience.resumption
            raise
        finally:
            self._entry.background.spawn(self._finish(linger))

    async def _finish(self, linger: float) -> None:
        self._meter.end(self._buffer.following)
        if not self._relay.finished and not self._relay.over:
            await asyncio.sleep(linger)
            await self._client.cancel()
