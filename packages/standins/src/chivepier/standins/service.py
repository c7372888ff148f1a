"""A stand-in plain service: ``python -m chivepier.standins.service``."""

import asyncio
import collections
import os

from aiohttp import web
import click
import uvloop

from chivepier.standins.announcer import Announcer
from chivepier.standins.faults import Faults
from chivepier.standins.faultswitch import set_faults
from chivepier.standins.serving import start_site


class Service:
    """Answers every call and remembers how often each key ran."""

    def __init__(self, name: str, pool: str, zone: str, streams: int):
        self._fields = {
            "target": name,
            "kind": "service",
            "pool": pool,
            "zone": zone,
            "models": [],
            "adapters": [],
            "role": "serve",
            "checks_fence": False,
            "capacity_tokens": 0,
            "max_streams": streams,
            "cached": [],
        }
        self.address = ""
        self.leaving = False
        self.faults = Faults()
        self.running = 0
        self.calls = 0
        self.runs: collections.Counter = collections.Counter()

    def build(self) -> web.Application:
        """Return the application."""
        app = web.Application(client_max_size=16 << 20)
        app.router.add_get("/-/runs", self.count)
        app.router.add_post("/-/faults", self.set_faults)
        app.router.add_post("/-/leave", self.leave)
        app.router.add_route("*", "/{path:.*}", self.call)
        return app

    def describe(self) -> dict:
        """Return the announcement's fields."""
        load = {
            "running": self.running,
            "waiting": 0,
            "used_tokens": 0,
            "preemptions": 0,
        }
        return {
            **self._fields,
            "address": self.address,
            "load": load,
            "leaving": self.leaving,
        }

    async def call(self, request: web.Request) -> web.Response:
        """Run a call: what counts is when it runs, not when it answers."""
        if self.leaving or self.faults.refuse:
            body = {"error": {"kind": "leaving", "ran": "no"}}
            return web.json_response(body, status=503)
        self.calls += 1
        self.running += 1
        key = request.headers.get("Idempotency-Key", "")
        self.runs[key] += 1
        try:
            await self._break(request)
            data = await request.read()
        finally:
            self.running -= 1
        return web.json_response(
            {
                "path": request.path,
                "method": request.method,
                "runs": self.runs[key],
                "service": self._fields["target"],
                "size": len(data),
            }
        )

    async def _break(self, request: web.Request) -> None:
        faults = self.faults
        if faults.die_after is not None and self.calls > faults.die_after:
            os._exit(1)
        await asyncio.sleep(faults.delay)
        if faults.drop_answer:
            faults.drop_answer = False
            request.transport.abort()
            raise ConnectionResetError

    async def count(self, request: web.Request) -> web.Response:
        """Tell how often each key ran."""
        return web.json_response(dict(self.runs))

    async def set_faults(self, request: web.Request) -> web.Response:
        """Set fault switches."""
        return await set_faults(self.faults, request)

    async def leave(self, request: web.Request) -> web.Response:
        """Announce leaving from now on."""
        self.leaving = True
        return web.json_response({"leaving": True})


@click.command(context_settings={"auto_envvar_prefix": "CHIVEPIER_STANDIN"})
@click.option("--name", required=True)
@click.option("--pool", required=True)
@click.option("--zone", default="")
@click.option("--port", default=0)
@click.option("--streams", default=64)
@click.option("--entry", "entries", multiple=True, required=True)
@click.option("--deployment-key", required=True)
def main(entries, deployment_key, port, **options) -> None:
    """Run a stand-in plain service."""
    uvloop.run(serve(Service(**options), port, entries, deployment_key))


async def serve(service: Service, port: int, entries, key: str) -> None:
    """Serve until ended.

    :param service: what to serve
    :param port: 0 for any free one
    :param entries: where to announce
    :param key: the deployment key
    """
    service.address = await start_site(service.build(), port)
    await Announcer(entries, key, service.describe).run()


if __name__ == "__main__":
    main()
