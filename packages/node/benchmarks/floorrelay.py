"""The libraries' floor: an SSE relay by aiohttp alone, line by line."""

import asyncio

import aiohttp
from aiohttp import web
import click
import uvloop

PATH = "/v1/completions"


class FloorRelay:
    """Passes each event on with another id, and checks nothing."""

    def __init__(self, engine: str):
        self._engine = engine
        self._http: aiohttp.ClientSession | None = None

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Relay one answer."""
        response = web.StreamResponse()
        response.headers["Content-Type"] = "text/event-stream"
        await response.prepare(request)
        async with self._http.post(
            f"http://{self._engine}{PATH}",
            data=await request.read(),
            headers={"X-Generation-Id": request.headers["X-Generation-Id"]},
        ) as answer:
            event = []
            async for line in answer.content:
                if line.startswith(b"id: "):
                    line = b"id: label." + line[4:]
                event.append(line)
                if line == b"\n":
                    await response.write(b"".join(event))
                    event.clear()
        return response

    async def serve(self, port: int) -> None:
        """Serve until ended."""
        self._http = aiohttp.ClientSession()
        app = web.Application()
        app.router.add_post(PATH, self.handle)
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", port).start()
        await asyncio.Event().wait()


@click.command()
@click.option("--engine", required=True)
@click.option("--port", type=int, required=True)
def main(engine: str, port: int) -> None:
    """Run the floor."""
    uvloop.run(FloorRelay(engine).serve(port))


if __name__ == "__main__":
    main()
