"""A stand-in plain service that counts executions per key."""

import collections

from aiohttp import web
import click
import uvloop

from chivepier.standins.announcer import Announcer


class Service:
    """Answers every call and remembers how often each key ran."""

    def __init__(self, name: str, pool: str, zone: str):
        self.name = name
        self.pool = pool
        self.zone = zone
        self.address = ""
        self.runs: collections.Counter = collections.Counter()

    def describe(self) -> dict:
        """Return the announcement's fields."""
        return {
            "target": self.name,
            "kind": "service",
            "pool": self.pool,
            "address": self.address,
            "zone": self.zone,
            "models": [],
            "adapters": [],
            "role": "serve",
            "checks_fence": False,
            "capacity_tokens": 0,
            "max_streams": 64,
            "load": {
                "running": 0,
                "waiting": 0,
                "used_tokens": 0,
                "preemptions": 0,
            },
            "cached": [],
            "leaving": False,
        }

    async def call(self, request: web.Request) -> web.Response:
        """Answer any call."""
        key = request.headers.get("Idempotency-Key", "")
        self.runs[key] += 1
        return web.json_response(
            {
                "path": request.path,
                "method": request.method,
                "runs": self.runs[key],
                "service": self.name,
            }
        )

    async def count(self, request: web.Request) -> web.Response:
        """Tell how often each key ran."""
        return web.json_response(dict(self.runs))


@click.command(context_settings={"auto_envvar_prefix": "CHIVEPIER_STANDIN"})
@click.option("--name", required=True)
@click.option("--pool", required=True)
@click.option("--zone", default="")
@click.option("--entry", "entries", multiple=True, required=True)
@click.option("--deployment-key", required=True)
def main(entries, deployment_key, **options) -> None:
    """Run a stand-in plain service."""
    uvloop.run(serve(Service(**options), entries, deployment_key))


async def serve(service: Service, entries, key) -> None:
    """Serve until ended."""
    app = web.Application()
    app.router.add_get("/-/runs", service.count)
    app.router.add_route("*", "/{path:.*}", service.call)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    port = site._server.sockets[0].getsockname()[1]
    service.address = f"127.0.0.1:{port}"
    await Announcer(entries, key, service.describe).run()


if __name__ == "__main__":
    main()
