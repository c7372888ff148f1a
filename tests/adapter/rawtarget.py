"""Scripted target that answers with bytes of the test's choice."""

import asyncio
import collections.abc
import socket
import struct

from chivepier.gateway.serving import CallerRequest
from chivepier.gateway.targets import Target
from chivepier.gateway.targets import TargetState

HEALTH_PATH = "/health"
HEALTH_REQUEST = f"GET {HEALTH_PATH} ".encode()

Script = collections.abc.Callable[
    [bytes, asyncio.StreamWriter], collections.abc.Awaitable[None]
]


class RawTarget:
    """Passes the head of each request to the script of a test.

    :ivar instance: name with which it answers health checks
    :ivar checks: number of health checks
    """

    def __init__(self, script: Script):
        self._script = script
        self.instance = "i1"
        self.checks = 0
        self._server = None
        self.requests: list[bytes] = []
        self.connections = 0
        self.address = ""
        self.reader: asyncio.StreamReader | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def __aenter__(self) -> "RawTarget":
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        return self

    async def __aexit__(self, *exc) -> None:
        # a writer that is left open raises in the collector, amid other work
        self.kill()

    def kill(self) -> None:
        """Close all that is open, as the system does for a killed process."""
        self._server.close()
        for writer in self._writers:
            writer.close()

    async def _serve(self, reader, writer) -> None:
        self.connections += 1
        self.reader = reader
        self._writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if head.startswith(HEALTH_REQUEST):
                    self._answer_check(writer)
                    continue
                self.requests.append(head)
                await self._script(head, writer)
                if writer.is_closing():
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    def _answer_check(self, writer: asyncio.StreamWriter) -> None:
        self.checks += 1
        name = self.instance.encode()
        writer.write(
            b"HTTP/1.1 200 OK\r\nX-Chivepier-Instance-Id: %s\r\n"
            b"Content-Length: 0\r\n\r\n" % name
        )

    def make_target(self) -> Target:
        """Return the target as it would be announced."""
        return Target(
            instance=self.instance,
            service="s",
            address=self.address,
            zone="z",
            state=TargetState.READY,
            number=1,
            slots=1,
            heard=0.0,
            software_version="v1",
        )


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection instead of closing it."""
    sock = writer.get_extra_info("socket")
    option = struct.pack("ii", 1, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)
    writer.transport.abort()


def make_request(
    request_id: str = "r1", method: str = "GET", body: bytes = b""
) -> CallerRequest:
    """Build a caller's request, by default without a body."""
    return CallerRequest(
        id=request_id,
        method=method,
        url="/a/b?c=%20d",
        path="/a/b",
        host="h.example",
        headers=(("X-Chivepier-Request-Id", request_id),),
        body=body,
        key=None,
        arrived=0.0,
        deadline=10.0,
    )
