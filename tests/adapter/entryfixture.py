"""A complete entry on loopback with one scripted target."""

import asyncio
import contextlib
import json
import os

from test_configcodec import CONFIG_FIELDS

from adapter.callers import CallerServer
from adapter.configcodec import decode_config
from adapter.httptargetclient import HttpTargetClient
from chivepier.gateway.config import RouteIndex
from chivepier.gateway.entry import Entry
from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.settings import EntrySettings
from chivepier.standins.cluster import find_port
from chivepier.standins.cluster import release_port
from chivepier.types import SystemClock
import rawtarget

ROUTES = [
    {
        "name": "once",
        "host": "h.example",
        "path-prefix": "/once/",
        "kind": "non_idempotent",
        "timeout-ms": 2000,
        "slo-ms": 1000,
        "service": "s",
    },
    {
        "name": "stream",
        "host": "h.example",
        "path-prefix": "/stream/",
        "kind": "streaming",
        "timeout-ms": 5000,
        "slo-ms": 1000,
        "service": "s",
    },
]
IDEMPOTENT_ROUTE = {
    **ROUTES[0],
    "name": "again",
    "path-prefix": "/again/",
    "kind": "idempotent",
}
CONFIG = {
    **CONFIG_FIELDS,
    "routes": ROUTES,
    "services": [
        {
            "name": "s",
            "max-conns": 10,
            "health-path": rawtarget.HEALTH_PATH,
        }
    ],
}


class EntryFixture:
    """Runs an entry on loopback with one scripted target."""

    def __init__(self, script, body_bytes: int = 32 << 20):
        self._body_bytes = body_bytes
        self.raw = rawtarget.RawTarget(script)
        self.port = find_port()
        self.ready_port = find_port()
        self.metrics_port = find_port()
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> "EntryFixture":
        enter = self._stack.enter_async_context
        await enter(self.raw)
        targets = await enter(HttpTargetClient())
        clock = SystemClock()
        settings = EntrySettings(
            name="e1",
            address=f"127.0.0.1:{self.port}",
            zone="z",
            seeds=(),
            cluster_key="secret-of-tests",
            beat=1.0,
            repeat_ratio=0.2,
            repeat_extra=10,
            repeat_window=10,
            grace=5.0,
            body_bytes=self._body_bytes,
            answer_bytes=4 << 20,
        )
        log = EventLog("e1", os.open(os.devnull, os.O_WRONLY))
        self.entry = await enter(
            Entry(settings, targets, decode_config, clock, log)
        )
        ready = f"127.0.0.1:{self.ready_port}"
        metrics_address = f"127.0.0.1:{self.metrics_port}"
        address = settings.address
        await enter(
            CallerServer(self.entry, clock, address, ready, metrics_address)
        )
        target = self.raw.make_target()
        target.heard = clock.monotonic()
        self.entry.table.put(target)
        return self

    async def __aexit__(self, *exc) -> None:
        await self._stack.aclose()
        for port in (self.port, self.ready_port, self.metrics_port):
            release_port(port)

    def configure(self, **changes) -> None:
        """Apply a configuration with changes."""
        body = json.dumps({**CONFIG, **changes}).encode()
        # as a voter that knows the newest configuration has said
        self.entry.state.find_doubt = lambda: None
        self.entry.state.adopt(RouteIndex(decode_config(body)))

    async def send(self, data: bytes, port: int | None = None) -> bytes:
        """Send bytes and read until the entry closes the connection."""
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", port or self.port
        )
        writer.write(data)
        try:
            return await reader.read()
        finally:
            writer.close()


def build_request(path: str, *lines: str, body: bytes = b"") -> bytes:
    """Build a request that closes its connection."""
    head = [
        f"POST {path} HTTP/1.1",
        "Host: h.example",
        "X-Chivepier-Request-Id: r1",
        "X-Api-Key: k1",
        "Connection: close",
        f"Content-Length: {len(body)}",
        *lines,
    ]
    return "\r\n".join(head).encode() + b"\r\n\r\n" + body


def run(script, test, configured: bool = True, **options):
    """Run a test with an entry and a scripted target."""

    async def work():
        async with asyncio.timeout(15), EntryFixture(
            script, **options
        ) as fixture:
            if configured:
                fixture.configure()
            await test(fixture)

    asyncio.run(work())


def read_status(answer: bytes) -> int:
    """Parse the status of an answer."""
    return int(answer.split(b" ")[1])
