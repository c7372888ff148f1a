"""Helpers that call a scripted target with the HTTP client."""

import asyncio

from adapter.httptargetclient import HttpTargetClient
from chivepier.gateway.serving import SendOptions
import rawtarget

NOT_RUN_LINE = b"X-Chivepier-Not-Run: 1\r\n"
UNAVAILABLE = b"503 Service Unavailable"
OPTIONS = SendOptions(seconds=1.5, team="t1", urgency=2)
ONCE_OPTIONS = SendOptions(seconds=1.5, once=True)


def build_answer(
    body: bytes,
    request_id: bytes = b"r1",
    extra: bytes = b"",
    status: bytes = b"200 OK",
) -> bytes:
    """Build a complete answer, which names no request if the id is empty."""
    if request_id:
        extra = b"X-Chivepier-Request-Id: %s\r\n%s" % (request_id, extra)
    return b"HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s" % (
        status,
        extra,
        len(body),
        body,
    )


def build_reply(
    head: bytes, body: bytes, extra: bytes = b"", status: bytes = b"200 OK"
) -> bytes:
    """Build the answer to a request, which names it if it has an id."""
    return build_answer(body, find_id(head), extra, status)


def find_id(head: bytes) -> bytes:
    """Return the request id in the head of a request."""
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b": ")
        if name == b"X-Chivepier-Request-Id":
            return value
    return b""


async def read_all(reply) -> bytes:
    """Read a body to its end."""
    data = b""
    while chunk := await reply.read():
        data += chunk
    reply.release()
    return data


class RecordingExchange:
    """Allows every request and records the heads of answers."""

    def __init__(self):
        self.heads: list = []
        self.excess: list[str] = []
        self.connections = 0
        self.begun = False

    def note_connected(self) -> None:
        """Count a new connection."""
        self.connections += 1

    def begin(self) -> None:
        """Allow the request."""
        self.begun = True

    def confirm(self) -> None:
        """Allow the request again."""

    def record_head(self, facts) -> None:
        """Record the metadata of an answer's head."""
        self.heads.append(facts)

    def record_excess(self, kind: str) -> None:
        """Record for what a connection was ended."""
        self.excess.append(kind)


def send(targets, target, request, options):
    """Send a request without restrictions."""
    return targets.send(target, request, options, RecordingExchange())


def reserve(targets, target, tokens, seconds):
    """Reserve a slot and KV cache without restrictions."""
    return targets.reserve(target, tokens, seconds, RecordingExchange())


def move(targets, source, request_id, destination, last, seconds):
    """Copy the KV cache of a run without restrictions."""
    work = (source, request_id, destination, last, seconds)
    return targets.move(*work, RecordingExchange())


def drop(targets, target, handle):
    """Free a copy without restrictions."""
    return targets.drop(target, handle, RecordingExchange())


def run(script, test):
    """Run a test against a scripted target."""

    async def work():
        async with rawtarget.RawTarget(
            script
        ) as raw, HttpTargetClient() as targets:
            async with asyncio.timeout(10):
                await test(raw, targets)

    asyncio.run(work())
