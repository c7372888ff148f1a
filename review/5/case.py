"""Streams whose first event has the id 0."""

import asyncio
import pathlib
import re
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "kit-2"))

import deployment  # noqa: E402

EVENTS = 6
ROUTES = [
    ("plain", "streaming", "b", {"gap-slo-ms": 180}),
    ("resumable", "streaming", "b", {"gap-slo-ms": 180, "resumable": True}),
]
HEAD = (
    "HTTP/1.1 200 OK\r\nX-Chivepier-Request-Id: {rid}\r\n"
    "X-Chivepier-Server-Stamp: {server}.1\r\n"
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)


def make_stream(first):
    """Return a behaviour that streams events with the ids from one on."""

    async def stream(server, writer, headers):
        rid = headers["x-chivepier-request-id"]
        after = int(headers.get("last-event-id", first - 1))
        server.record("server runs", rid, "from event", after + 1)
        writer.write(HEAD.format(rid=rid, server=server.id).encode())
        for number in range(after + 1, first + EVENTS):
            event = f"id: {number}\ndata: piece {number} of {rid}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            server.record("server sent event", number, "of", rid)
            await asyncio.sleep(0.02)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    return stream


async def scenario(site, trouble):
    """Ask for streams, and compare their events with those that were sent."""
    first = 0 if trouble else 1
    for _ in range(2):
        site.add_server("b").behave = make_stream(first)
    wanted = list(range(first, first + EVENTS))
    async with site.run(deployment.make_config(1, ROUTES)):
        for n in range(8):
            route = ROUTES[n % 2][0]
            rid = f"r{n}-{route}"
            entry = site.entries[n // 2 % len(site.entries)]
            status, body = await site.ask(entry, f"/{route}/x", rid)
            site.record("client got", rid, body.decode().split("\n\n"))
            if status != 200 or len(site.find(rid)) != 1:
                raise RuntimeError(f"{rid}: {status}, or another run")
            got = [int(x) for x in re.findall(rb"^id: (\d+)$", body, re.M)]
            text = f"is complete, has events {got} of {wanted}"
            site.check(got == wanted, rid, text)


deployment.play(FOLDER, scenario)
