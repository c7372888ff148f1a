"""A stand-in weight store: ``python -m chivepier.standins.weightstore``."""

import asyncio
import math

from aiohttp import web
import click
import uvloop

from chivepier.standins.serving import start_site
from chivepier.types import Clock
from chivepier.types import SystemClock

SIZE = 1024


class WeightStore:
    """Hands out weights at a limited rate and refuses what is beyond.

    :param rate: fetches a second that are served
    :param burst: fetches that may come at once
    """

    def __init__(self, clock: Clock, rate: float, burst: int):
        self._clock = clock
        self._rate = rate
        self._burst = burst
        self._left = float(burst)
        self._at = clock.monotonic()
        self.served = 0
        self.refused = 0

    def build(self) -> web.Application:
        """Return the application."""
        app = web.Application()
        app.router.add_get("/weights/{model}/{version}", self.fetch)
        app.router.add_get("/-/state", self.show)
        return app

    def take(self) -> float:
        """Take one fetch from the allowance.

        :returns: 0 when allowed, else seconds until the next one is
        """
        now = self._clock.monotonic()
        gained = (now - self._at) * self._rate
        self._left = min(self._burst, self._left + gained)
        self._at = now
        if self._left >= 1:
            self._left -= 1
            return 0.0
        return (1 - self._left) / self._rate

    async def fetch(self, request: web.Request) -> web.Response:
        """Answer one fetch."""
        wait = self.take()
        if wait > 0:
            self.refused += 1
            headers = {"Retry-After": str(math.ceil(wait))}
            return web.Response(status=429, headers=headers)
        self.served += 1
        return web.Response(body=b"\0" * SIZE)

    async def show(self, request: web.Request) -> web.Response:
        """Tell how many fetches were served and refused."""
        return web.json_response(
            {"served": self.served, "refused": self.refused}
        )


@click.command(context_settings={"auto_envvar_prefix": "CHIVEPIER_STANDIN"})
@click.option("--port", required=True, type=int)
@click.option("--rate", default=2.0)
@click.option("--burst", default=1)
def main(port: int, rate: float, burst: int) -> None:
    """Run a stand-in weight store."""
    uvloop.run(serve(WeightStore(SystemClock(), rate, burst), port))


async def serve(store: WeightStore, port: int) -> None:
    """Serve until ended.

    :param store: what to serve
    :param port: where
    """
    await start_site(store.build(), port)
    await asyncio.Event().wait()


if __name__ == "__main__":
    main()
