"""A planned replacement of a voter, and later the loss of one disk."""

import asyncio
import os
import pathlib
import signal
import sys
import tempfile

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))

from deployment import CannotRun  # noqa: E402
from deployment import Deployment  # noqa: E402
from deployment import Record  # noqa: E402
from deployment import reserve_block  # noqa: E402

# From the users' pages, in seconds.
CATCH_UP, GRACE, RECOVER, TOUCH = 4.0, 8.0, 12.0, 3.0
# From the end of the replacement to the loss of the disk.
CALM = 6.0
DOWN = 1.0


def make_config(version):
    return {
        "version": version,
        "routes": [
            {
                "name": "r-1",
                "host": "a.example",
                "path-prefix": "/case/",
                "kind": "idempotent",
                "timeout-ms": 1500,
                "slo-ms": 125,
                "priority": 2,
                "service": "app",
                "max-attempts": 2,
                "public": True,
            }
        ],
        "services": [
            {
                "name": "app",
                "health-path": "/health",
                "max-conns": 110,
                "protocol": "h1",
                "tls": False,
            }
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 4194304,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
        "tenants": [],
    }


async def replace(deployment, old):
    """Start the successor, give it its time, then stop the old machine."""
    new = deployment.add_voter(old.zone)
    new.start()
    await asyncio.sleep(CATCH_UP)
    old.send_signal(signal.SIGTERM)
    if not await old.wait_end(GRACE):
        old.send_signal(signal.SIGKILL)
        await old.wait_end(1.0)
    deployment.record.write(f"{old.name} has ended and does not come back")
    # its time counts from when it serves, so it gets that again
    await asyncio.sleep(CATCH_UP)
    return new


async def play(deployment, trouble):
    """Play the case; return whether the rule held."""
    first, other, old = deployment.voters
    if await deployment.put_config(make_config(3), 15.0) is None:
        raise CannotRun("the first configuration was not acknowledged")
    await asyncio.sleep(TOUCH)
    machines = [first, other, old]
    if trouble:
        machines = [first, other, await replace(deployment, old)]
    await asyncio.sleep(CALM)
    if await deployment.put_config(make_config(7), 10.0, machines) is None:
        raise CannotRun("a change was not acknowledged before the loss")
    if trouble:
        other.send_signal(signal.SIGKILL)
        await other.wait_end(1.0)
        other.lose_disk()
        await asyncio.sleep(DOWN)
        other.start()
    await asyncio.sleep(RECOVER + CATCH_UP)
    version = await deployment.read_config(2 * TOUCH, machines)
    later = await deployment.put_config(make_config(9), 4.0, machines)
    deployment.record.write(
        f"read back: {version}, 7 was acknowledged; a later change"
        f" {'was' if later else 'was not'} acknowledged"
    )
    return version == 7


async def main():
    trouble = os.environ.get("TROUBLE", "1") != "0"
    lock, prefix = reserve_block()
    record = Record(pathlib.Path(__file__).with_name("record.txt"))
    with lock, tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(folder, prefix, record, voters=3, entries=2)
        try:
            async with deployment.run():
                held = await play(deployment, trouble)
        except CannotRun as error:
            record.write(f"could not run: {error}")
            return 2
        record.write("the rule held" if held else "the rule was broken")
        return 0 if held else 1


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
