"""One client outside the limits."""

import asyncio
import contextlib
import itertools

from soak.crowds import CLIENT_ID
from soak.crowds import Pace
from soak.crowds import Shape

# Seconds between two bytes of a client that drips, and between two of its
# connections.
DRIP_SECONDS = 0.2
_numbers = itertools.count(1)


async def send_shape(ip: str, port: int, shape: Shape) -> None:
    """Send a shape, again on a new connection each time it is closed."""
    while True:
        await send_once(ip, port, shape)
        await asyncio.sleep(DRIP_SECONDS)


async def send_once(ip: str, port: int, shape: Shape) -> None:
    """Send a shape on one connection until the other side closes it."""
    with contextlib.suppress(OSError):
        # reads hardly ahead, as what it reads is not to be read
        reader, writer = await asyncio.open_connection(ip, port, limit=1)
        with contextlib.closing(writer):
            reads = shape.pace not in (Pace.UNREAD, Pace.DEAF)
            closed = asyncio.create_task(_await_close(reader, reads))
            sent = asyncio.create_task(_send(writer, shape))
            try:
                await asyncio.wait(
                    {closed, sent}, return_when=asyncio.FIRST_COMPLETED
                )
                if not closed.done() and shape.pace is not Pace.UNREAD:
                    await closed
            finally:
                closed.cancel()
                sent.cancel()
                writer.transport.abort()


async def _await_close(reader: asyncio.StreamReader, reads: bool) -> None:
    if not reads:
        await asyncio.Event().wait()
    while await reader.read(1 << 16):
        pass


async def _send(writer: asyncio.StreamWriter, shape: Shape) -> None:
    number = b"crowd-%d" % next(_numbers)
    writer.write(shape.first.replace(CLIENT_ID, number))
    await writer.drain()
    while shape.more:
        if shape.pace in (Pace.DRIP, Pace.DEAF):
            await asyncio.sleep(DRIP_SECONDS)
        writer.write(shape.more)
        await writer.drain()
        await asyncio.sleep(0)
