"""The engine's HTTP interface."""

import asyncio
import os

from aiohttp import web
import attrs

from chivepier.standins.engine.batch import Batch
from chivepier.standins.engine.batch import wait_grown
from chivepier.standins.engine.orders import Orders
from chivepier.standins.engine.stream import choose_length
from chivepier.standins.engine.stream import Stream
from chivepier.standins.faults import Faults
from chivepier.standins.faultswitch import set_faults
from chivepier.types import Clock

GENERATION_HEADER = "X-Generation-Id"
ATTACH_HEADER = "X-Attach"
KEPT_STREAMS = 1000
WAIT_SECONDS = 1.0
CROSSED = "0" * 32
DEFAULT_TOKENS = 65536


class Server:
    """Serves completions, resumption, cancellation and orders.

    :param orphan_seconds: how long a generation without a reader goes on
    """

    def __init__(
        self,
        clock: Clock,
        batch: Batch,
        orders: Orders,
        orphan_seconds: float,
    ):
        self._clock = clock
        self.batch = batch
        self.orders = orders
        self.faults = Faults()
        self.leaving = False
        self.runs = 0
        self.cancels = 0
        self._orphan_seconds = orphan_seconds
        self._streams: dict[str, Stream] = {}
        self._tasks: list[asyncio.Task] = []

    def build(self) -> web.Application:
        """Return the application."""
        app = web.Application(client_max_size=16 << 20)
        app.router.add_post("/v1/chat/completions", self.complete)
        app.router.add_post("/v1/completions", self.complete)
        path = "/v1/generations/{generation}"
        app.router.add_get(path, self.resume)
        app.router.add_delete(path, self.cancel)
        app.router.add_post("/v1/orders", self.order)
        app.router.add_post("/-/faults", self.set_faults)
        app.router.add_post("/-/leave", self.leave)
        app.router.add_post("/-/reclaim", self.reclaim)
        app.router.add_get("/-/state", self.show)
        return app

    async def complete(self, request: web.Request) -> web.StreamResponse:
        """Start a generation and stream it."""
        body = await request.json()
        await asyncio.sleep(self.faults.delay)
        generation = request.headers.get(GENERATION_HEADER, "")
        problem = self._find_problem(body, generation)
        if problem is not None:
            return problem
        stream = self._make_stream(body, generation)
        self._streams[generation] = stream
        self._forget()
        self.runs += 1
        self.batch.add(stream)
        return await self._send(request, stream, 0)

    def _find_problem(self, body: dict, generation: str):
        known = {name.partition("@")[0] for name in self.orders.models}
        if self.leaving or self.faults.refuse:
            return refuse(503, "leaving", "no")
        if generation in self._streams:
            return refuse(409, "duplicate", "yes")
        if body.get("model") not in known:
            return refuse(404, "not_loaded", "no")
        adapter = body.get("adapter")
        if adapter and adapter not in self.orders.adapters:
            return refuse(404, "not_loaded", "no")
        return None

    def _make_stream(self, body: dict, generation: str) -> Stream:
        chat = "messages" in body
        prompt = body.get("prompt") or ""
        if chat:
            parts = [
                f"{m['role']}\n{m['content']}\n" for m in body["messages"]
            ]
            prompt = "".join(parts)
        limit = body.get("max_tokens", DEFAULT_TOKENS)
        return Stream(
            generation=generation,
            model=body["model"],
            prompt=prompt,
            chat=chat,
            priority=body.get("priority", 0),
            salt=body.get("cache_salt", ""),
            length=choose_length(prompt, limit),
            limit=limit,
            arrived=self._clock.monotonic(),
        )

    def _forget(self) -> None:
        ended = [s for s in self._streams.values() if s.ended]
        for stream in ended[: max(0, len(ended) - KEPT_STREAMS)]:
            del self._streams[stream.generation]

    async def resume(self, request: web.Request) -> web.StreamResponse:
        """Stream a known generation from an index on."""
        stream = self._streams.get(request.match_info["generation"])
        if stream is None or stream.cancelled:
            return refuse(404, "unknown_generation", "unknown")
        start = int(request.query.get("from", 0))
        return await self._send(request, stream, start)

    async def cancel(self, request: web.Request) -> web.Response:
        """Cancel a generation, unless a later reader has attached."""
        stream = self._streams.get(request.match_info["generation"])
        if stream is None:
            return refuse(404, "unknown_generation", "unknown")
        attach = int(request.query.get("attach", stream.attach))
        if not stream.ended and attach == stream.attach:
            self.batch.cancel(stream)
            self.cancels += 1
        return web.json_response(
            {"cancelled": stream.cancelled, "tokens": stream.tokens}
        )

    async def _send(
        self, request: web.Request, stream: Stream, start: int
    ) -> web.StreamResponse:
        stream.attach += 1
        stream.readers += 1
        stream.orphaned = None
        name = CROSSED if self.faults.cross else stream.generation
        response = web.StreamResponse(
            headers={
                "Content-Type": "text/event-stream",
                GENERATION_HEADER: name,
                ATTACH_HEADER: str(stream.attach),
            }
        )
        try:
            await response.prepare(request)
            await self._write_events(request, response, stream, start)
        finally:
            stream.readers -= 1
            if not stream.readers:
                stream.orphaned = self._clock.monotonic()
        return response

    async def _write_events(
        self,
        request: web.Request,
        response: web.StreamResponse,
        stream: Stream,
        start: int,
    ) -> None:
        index = start
        while index < stream.tokens or not stream.ended:
            if index >= stream.tokens:
                await wait_grown(stream, WAIT_SECONDS)
                continue
            await self._break(request, index)
            event = stream.events[index]
            if self.faults.cross:
                old = stream.generation.encode()
                event = event.replace(old, CROSSED.encode())
            await response.write(event)
            index += 1
        if stream.finished:
            await response.write(b"data: [DONE]\n\n")

    async def _break(self, request: web.Request, index: int) -> None:
        faults = self.faults
        if faults.die_after is not None and index >= faults.die_after:
            os._exit(1)
        if faults.cut_after is not None and index >= faults.cut_after:
            faults.cut_after = None
            request.transport.abort()
            raise ConnectionResetError
        if faults.stall_after is not None and index >= faults.stall_after:
            faults.stall_after = None
            await asyncio.sleep(faults.stall_seconds)

    async def watch_orphans(self) -> None:
        """Cancel generations that nobody has read for long."""
        while True:
            await self._clock.sleep(0.25)
            oldest = self._clock.monotonic() - self._orphan_seconds
            for stream in list(self._streams.values()):
                lost = stream.orphaned
                if not stream.ended and lost is not None and lost < oldest:
                    self.batch.cancel(stream)
                    self.cancels += 1

    async def order(self, request: web.Request) -> web.Response:
        """Carry out an order."""
        status, body = await self.orders.run(await request.json())
        return web.json_response(body, status=status)

    async def set_faults(self, request: web.Request) -> web.Response:
        """Set fault switches."""
        return await set_faults(self.faults, request)

    async def leave(self, request: web.Request) -> web.Response:
        """Announce leaving from now on; what runs goes on."""
        self.leaving = True
        return web.json_response({"leaving": True})

    async def reclaim(self, request: web.Request) -> web.Response:
        """Announce leaving and exit after ``seconds``."""
        self.leaving = True
        seconds = (await request.json())["seconds"]
        asyncio.get_running_loop().call_later(seconds, os._exit, 1)
        return web.json_response({"leaving": True, "seconds": seconds})

    async def show(self, request: web.Request) -> web.Response:
        """Tell what happened so far."""
        return web.json_response(
            {
                "runs": self.runs,
                "cancels": self.cancels,
                "running": len(self.batch.running),
                "waiting": len(self.batch.waiting),
                "preemptions": self.batch.preemptions,
                "models": self.orders.models,
                "adapters": self.orders.adapters,
                "role": self.orders.role,
                "fence": self.orders.fence,
                "orders": [attrs.asdict(s) for s in self.orders.seen],
            }
        )


def refuse(status: int, kind: str, ran: str) -> web.Response:
    """Answer that a request isn't served.

    :param status: HTTP status
    :param kind: why
    :param ran: whether it ran
    :returns: the answer
    """
    body = {"error": {"kind": kind, "ran": ran}}
    return web.json_response(body, status=status)
