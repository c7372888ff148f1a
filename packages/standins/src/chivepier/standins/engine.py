"""A stand-in engine: tokens on a clock, one text for every prompt."""

import asyncio
import json
import random
import time

from aiohttp import web
import click
import uvloop

from chivepier.standins.announcer import Announcer

GENERATION_HEADER = "x-generation-id"


class Engine:
    """Streams made-up tokens."""

    def __init__(self, name, pool, zone, models, interval, streams):
        self.name = name
        self.pool = pool
        self.zone = zone
        self.models = models
        self.interval = interval
        self.streams = streams
        self.address = ""
        self.running = 0

    def describe(self) -> dict:
        """Return the announcement's fields."""
        return {
            "target": self.name,
            "kind": "engine",
            "pool": self.pool,
            "address": self.address,
            "zone": self.zone,
            "models": self.models,
            "adapters": [],
            "role": "serve",
            "checks_fence": False,
            "capacity_tokens": 100000,
            "max_streams": self.streams,
            "load": {
                "running": self.running,
                "waiting": 0,
                "used_tokens": 0,
                "preemptions": 0,
            },
            "cached": [],
            "leaving": False,
        }

    async def complete(self, request: web.Request) -> web.StreamResponse:
        """Answer a completion with a stream of tokens."""
        body = await request.json()
        generation = request.headers[GENERATION_HEADER]
        chat = "messages" in body
        seed = json.dumps(body.get("messages") or body.get("prompt"))
        length = random.Random(seed).randint(1, 200)
        length = min(length, body["max_tokens"])
        response = web.StreamResponse(
            headers={
                "Content-Type": "text/event-stream",
                GENERATION_HEADER: generation,
            }
        )
        await response.prepare(request)
        self.running += 1
        try:
            for index in range(length):
                await asyncio.sleep(self.interval)
                last = index == length - 1
                event = render(body["model"], generation, index, chat, last)
                await response.write(event)
            await response.write(b"data: [DONE]\n\n")
        finally:
            self.running -= 1
        return response


def render(model, generation, index, chat, last) -> bytes:
    """Build one event."""
    choice = {"index": 0, "finish_reason": "stop" if last else None}
    text = f"t{index} "
    if chat:
        choice["delta"] = {"content": text}
    else:
        choice["text"] = text
    data = {
        "id": generation,
        "object": "chat.completion.chunk" if chat else "text_completion",
        "created": int(time.time()),
        "model": model,
        "choices": [choice],
    }
    text = json.dumps(data, separators=(",", ":"))
    return f"id: {index}\ndata: {text}\n\n".encode()


@click.command(context_settings={"auto_envvar_prefix": "CHIVEPIER_STANDIN"})
@click.option("--name", required=True)
@click.option("--pool", required=True)
@click.option("--zone", default="")
@click.option("--model", "models", multiple=True)
@click.option("--entry", "entries", multiple=True, required=True)
@click.option("--deployment-key", required=True)
@click.option("--interval", default=0.01)
@click.option("--streams", default=16)
def main(entries, deployment_key, **options) -> None:
    """Run a stand-in engine."""
    uvloop.run(serve(Engine(**options), entries, deployment_key))


async def serve(engine: Engine, entries, key) -> None:
    """Serve until ended."""
    app = web.Application(client_max_size=16 << 20)
    app.router.add_post("/v1/chat/completions", engine.complete)
    app.router.add_post("/v1/completions", engine.complete)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    port = site._server.sockets[0].getsockname()[1]
    engine.address = f"127.0.0.1:{port}"
    await Announcer(entries, key, engine.describe).run()


if __name__ == "__main__":
    main()
