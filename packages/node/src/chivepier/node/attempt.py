"""One generation at one target, under one permit."""

import asyncio
import collections.abc
import contextlib
import uuid

import aiohttp

from chivepier.node.directory import Service
from chivepier.node.ending import end_generation
from chivepier.node.engineclient import EngineClient
from chivepier.node.entry import Entry
from chivepier.node.handle import Handle
from chivepier.node.inflight import Inflight
from chivepier.node.relay import Relay
from chivepier.node.ssebuffer import SseBuffer
from chivepier.node.streammeter import StreamMeter


class Attempt:
    """Starts a generation, relays it and ends it.

    :param inflight: the record of the permit; it may ask for an early end
    :param http: the session to reach the engine by
    """

    def __init__(
        self,
        entry: Entry,
        service: Service,
        inflight: Inflight,
        http: aiohttp.ClientSession,
        meter: StreamMeter,
    ):
        self._entry = entry
        self._inflight = inflight
        generation = uuid.uuid4().hex
        handle = Handle(
            inflight.permit.address,
            generation,
            service.team,
            service.template_name,
            inflight.permit.target,
            inflight.permit.permit,
            inflight.request.prompt_tokens,
        )
        sealed = handle.seal(entry.cluster.machine.secret)
        self._client = EngineClient(http, handle.address, generation)
        self._buffer = SseBuffer(f"{sealed}.".encode(), generation.encode())
        self._relay = Relay(self._client, self._buffer, entry.patience, meter)
        self._dispatched = False

    @property
    def tokens(self) -> int:
        """Tokens relayed so far."""
        return self._buffer.following

    async def run(
        self, path: str, body: dict
    ) -> collections.abc.AsyncIterator[bytes]:
        """Dispatch the generation and yield its events.

        :param path: ``chat/completions`` or ``completions``
        :param body: the request's JSON
        :raises RequestError: when it can't be read to its end
        """
        watcher = asyncio.create_task(self._watch_stop())
        permits = self._entry.permits
        try:
            self._dispatched = True
            await self._relay.dispatch(path, body)
            events = self._relay.read()
            async with contextlib.aclosing(events):
                async for data in events:
                    permits.report_progress(self._inflight, self.tokens)
                    yield data
        finally:
            watcher.cancel()

    async def _watch_stop(self) -> None:
        await self._inflight.stopped.wait()
        self._relay.stop(self._inflight.retry_after)

    async def end(self, linger: float) -> None:
        """Free the engine of a generation that wasn't read to its end.

        :param linger: seconds in which its caller may resume it elsewhere
        """
        if self._relay.finished or self._relay.over or not self._dispatched:
            return
        await end_generation(self._entry, self._client, self._inflight, linger)
