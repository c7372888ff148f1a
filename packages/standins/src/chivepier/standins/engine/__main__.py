"""Run a stand-in engine: ``python -m chivepier.standins.engine``."""

import asyncio
import collections

import click
import uvloop

from chivepier.standins.announcer import Announcer
from chivepier.standins.engine.batch import Batch
from chivepier.standins.engine.costs import Costs
from chivepier.standins.engine.memory import Memory
from chivepier.standins.engine.orders import Orders
from chivepier.standins.engine.server import Server
from chivepier.standins.serving import start_site
from chivepier.types import SystemClock

CACHED_SENT = 256


class Description:
    """What the engine says of itself; load and cache events lag.

    :param lag: how many announcements old the reported load is
    :param gap: every so many announcements the cache events are lost
    """

    def __init__(self, fields: dict, server: Server, lag: int, gap: int):
        self._fields = fields
        self._server = server
        self._gap = gap
        self._count = 0
        self._loads: collections.deque = collections.deque(maxlen=lag + 1)

    def describe(self) -> dict:
        """Return the announcement's fields."""
        self._count += 1
        server = self._server
        self._loads.append(self._read_load())
        lost = self._gap and self._count % self._gap == 0
        cached = [] if lost else server.batch.memory.cached()[-CACHED_SENT:]
        return {
            **self._fields,
            "models": server.orders.models,
            "adapters": server.orders.adapters,
            "role": server.orders.role,
            "load": self._loads[0],
            "cached": cached,
            "leaving": server.leaving,
        }

    def _read_load(self) -> dict:
        batch = self._server.batch
        return {
            "running": len(batch.running),
            "waiting": len(batch.waiting),
            "used_tokens": batch.memory.used_tokens,
            "preemptions": batch.preemptions,
        }


@click.command(context_settings={"auto_envvar_prefix": "CHIVEPIER_STANDIN"})
@click.option("--name", required=True)
@click.option("--pool", required=True)
@click.option("--zone", default="")
@click.option("--port", default=0)
@click.option("--model", "models", multiple=True, help="name@version")
@click.option("--entry", "entries", multiple=True, required=True)
@click.option("--deployment-key", required=True)
@click.option("--memory-tokens", default=100_000)
@click.option("--streams", default=64)
@click.option("--step-seconds", default=Costs().base)
@click.option("--orphan-seconds", default=10.0)
@click.option("--checks-fence/--ignores-fence", default=True)
@click.option("--store", default="", help="Address of the weight store.")
@click.option("--load-lag", default=2)
@click.option("--cache-gap", default=5)
def main(**options) -> None:
    """Run a stand-in engine."""
    uvloop.run(serve(options))


async def serve(options: dict) -> None:
    """Serve until ended.

    :param options: of the command line
    """
    clock = SystemClock()
    memory = Memory(options["memory_tokens"])
    costs = Costs(base=options["step_seconds"])
    batch = Batch(clock, costs, memory, options["streams"])
    checks, store = options["checks_fence"], options["store"]
    orders = Orders(clock, checks, store, list(options["models"]))
    server = Server(clock, batch, orders, options["orphan_seconds"])
    address = await start_site(server.build(), options["port"])
    fields = {
        "target": options["name"],
        "kind": "engine",
        "pool": options["pool"],
        "address": address,
        "zone": options["zone"],
        "checks_fence": checks,
        "capacity_tokens": options["memory_tokens"],
        "max_streams": options["streams"],
    }
    description = Description(
        fields, server, options["load_lag"], options["cache_gap"]
    )
    announcer = Announcer(
        options["entries"], options["deployment_key"], description.describe
    )
    await asyncio.gather(batch.run(), server.watch_orphans(), announcer.run())


if __name__ == "__main__":
    main()
