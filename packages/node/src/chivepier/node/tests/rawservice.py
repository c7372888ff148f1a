"""A scripted plain service that answers in bytes."""

import asyncio
import socket
import struct

# Passes of the loop in which what was sent is read.
PASSES = 20


class RawService:
    """Sends the same bytes to each call and ends its connection.

    :param answer: head and body
    :param resets: whether the end is a reset; else it is orderly
    :ivar calls: number of calls that arrived
    """

    def __init__(self, answer: bytes, resets: bool = False):
        self._answer = answer
        self._resets = resets
        self.calls = 0

    async def __aenter__(self):
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, family=socket.AF_INET
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        return self

    async def __aexit__(self, *exc):
        self._server.close()
        await self._server.wait_closed()

    async def _serve(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        size = 0
        for line in head.lower().split(b"\r\n"):
            name, _, value = line.partition(b":")
            if name == b"content-length":
                size = int(value)
        await reader.readexactly(size)
        self.calls += 1
        writer.write(self._answer)
        await writer.drain()
        if self._resets:
            # the entry, on the same loop, reads before the reset discards
            for _ in range(PASSES):
                await asyncio.sleep(0)
            linger = struct.pack("ii", 1, 0)
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, linger
            )
        writer.close()
