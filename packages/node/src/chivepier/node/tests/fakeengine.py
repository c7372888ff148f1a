"""A scripted engine for tests of the request path."""

import asyncio
import collections.abc
import json

from aiohttp import web

GENERATION = "X-Generation-Id"
OTHER = "0" * 32


def render(generation: str, index: int, text: str = "t") -> bytes:
    """Build one event."""
    data = {"id": generation, "choices": [{"text": f"{text}{index} "}]}
    plain = json.dumps(data, separators=(",", ":"))
    return f"id: {index}\ndata: {plain}\n\n".encode()


class Reader:
    """One reader's answer, as a script writes it."""

    def __init__(self, request, generation: str, start: int, length: int):
        self._request = request
        self._response = web.StreamResponse()
        self.generation = generation
        self.start = start
        self.length = length

    async def open(self, name: str = "", attach: int = 1):
        """Send the headers."""
        headers = self._response.headers
        headers[GENERATION] = name or self.generation
        headers["X-Attach"] = str(attach)
        headers["Content-Type"] = "text/event-stream"
        await self._response.prepare(self._request)
        return self._response

    async def send(self, first: int, end: int, name: str = "") -> None:
        """Send events in one write."""
        name = name or self.generation
        events = [render(name, i) for i in range(first, end)]
        await self._response.write(b"".join(events))

    async def finish(self, first: int) -> None:
        """Send the rest and the end."""
        await self.send(first, self.length)
        await self._response.write(b"data: [DONE]\n\n")

    def cut(self) -> None:
        """Close the connection without a word."""
        self._request.transport.abort()
        raise ConnectionResetError


Script = collections.abc.Callable[
    [Reader], collections.abc.Awaitable[web.StreamResponse | None]
]


async def whole(reader: Reader):
    """Send everything."""
    response = await reader.open()
    await reader.finish(reader.start)
    return response


def cut_at(index: int) -> Script:
    """Send events up to an index, then lose the connection."""

    async def play(reader):
        await reader.open()
        await reader.send(reader.start, index)
        await asyncio.sleep(0.01)
        reader.cut()

    return play


def hang_at(index: int) -> Script:
    """Send events up to an index, then nothing."""

    async def play(reader):
        await reader.open()
        await reader.send(reader.start, index)
        await asyncio.Event().wait()

    return play


async def hang_before_headers(reader):
    """Never answer."""
    await asyncio.Event().wait()


def cross_at(index: int) -> Script:
    """Put one event of another generation amid one write."""

    async def play(reader):
        response = await reader.open()
        own = [render(reader.generation, i) for i in range(reader.length)]
        own[index] = render(OTHER, index, "secret")
        await response.write(b"".join(own[reader.start :]))
        return response

    return play


async def cross_header(reader):
    """Answer another request."""
    response = await reader.open(OTHER)
    await reader.finish(reader.start)
    return response


def skip(index: int) -> Script:
    """Leave one event out."""

    async def play(reader):
        response = await reader.open()
        await reader.send(reader.start, index)
        await reader.finish(index + 1)
        return response

    return play


async def repeat(reader):
    """Begin with events that were sent before."""
    response = await reader.open()
    await reader.finish(0)
    return response


def refuse(status: int, ran: str) -> Script:
    """Refuse the request."""

    async def play(reader):
        body = {"error": {"kind": "full", "ran": ran}}
        return web.json_response(body, status=status)

    return play


class FakeEngine:
    """Plays one script for each reader; the last one stays."""

    def __init__(self, *scripts: Script, length: int = 8):
        self.scripts = list(scripts) or [whole]
        self.length = length
        self.posts: list[dict] = []
        self.resumes: list[int] = []
        self.cancels: list[str] = []
        self.address = ""

    async def __aenter__(self) -> "FakeEngine":
        app = web.Application()
        app.router.add_post("/v1/{path:.*completions}", self._start)
        path = "/v1/generations/{generation}"
        app.router.add_get(path, self._resume)
        app.router.add_delete(path, self._cancel)
        self._runner = web.AppRunner(
            app, handler_cancellation=True, shutdown_timeout=0.05
        )
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        self.address = "127.0.0.1:%d" % self._runner.addresses[0][1]
        return self

    async def __aexit__(self, *exc) -> None:
        await self._runner.cleanup()

    async def stop(self) -> None:
        """Die: nothing listens any more."""
        await self._runner.cleanup()

    async def _start(self, request):
        self.posts.append(await request.json())
        return await self._play(request, request.headers[GENERATION], 0)

    async def _resume(self, request):
        start = int(request.query["from"])
        self.resumes.append(start)
        generation = request.match_info["generation"]
        return await self._play(request, generation, start)

    async def _play(self, request, generation, start):
        script = self.scripts[0]
        if len(self.scripts) > 1:
            self.scripts.pop(0)
        reader = Reader(request, generation, start, self.length)
        return await script(reader)

    async def _cancel(self, request):
        self.cancels.append(request.query.get("attach", ""))
        return web.json_response({"cancelled": True, "tokens": 0})
