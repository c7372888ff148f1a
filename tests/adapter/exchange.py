"""One exchange of a test with a target that follows a script."""

import asyncio

from adapter.httptargetclient import HttpTargetClient
from chivepier.gateway.serving import SendOptions
import rawtarget

FULL = b"503 Service Unavailable"
ORDER = SendOptions(seconds=1.5, team="t1", urgency=2)
ONCE = SendOptions(seconds=1.5, once=True)


def answer(
    body: bytes,
    identity: bytes = b"r1",
    extra: bytes = b"",
    status: bytes = b"200 OK",
) -> bytes:
    """Build a whole answer."""
    return (
        b"HTTP/1.1 %s\r\nX-Chivepier-Request-Id: %s\r\n%s"
        b"Content-Length: %d\r\n\r\n%s"
        % (status, identity, extra, len(body), body)
    )


async def read_all(reply) -> bytes:
    """Read a body to its end."""
    data = b""
    while chunk := await reply.read():
        data += chunk
    reply.release()
    return data


class Free:
    """A contact that may begin; notes what it hears."""

    def __init__(self):
        self.heard: list = []

    def begin(self) -> None:
        """Allow everything."""

    def record_head(self, facts) -> None:
        """Note an answer's head."""
        self.heard.append(facts)


def send(targets, target, request, order):
    """Send a request that may go."""
    return targets.send(target, request, order, Free())


def reserve(targets, target, tokens, seconds):
    """Reserve room at a target that may be asked."""
    return targets.reserve(target, tokens, seconds, Free())


def move(targets, source, request_id, destination, last, seconds):
    """Move a run whose target may be asked."""
    work = (source, request_id, destination, last, seconds)
    return targets.move(*work, Free())


def drop(targets, target, handle):
    """Free a copy at a target that may be asked."""
    return targets.drop(target, handle, Free())


def run(script, test):
    """Run a test against a target that follows a script."""

    async def work():
        async with rawtarget.RawTarget(
            script
        ) as raw, HttpTargetClient() as targets:
            async with asyncio.timeout(10):
                await test(raw, targets)

    asyncio.run(work())
