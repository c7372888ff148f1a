"""A request sent around a planned stop, and what became of it."""

import asyncio
import time

import attrs

from soak.callerheaders import make_caller_headers

# Time between the head and the body of a request that is sent slowly.
BODY_PAUSE_SECONDS = 1.5


@attrs.define
class LateCall:
    """One request, and its outcome as its caller saw it.

    :param identity: the request's id
    :param kind: what is sent, for reports
    :param path: path of the request
    :param deadline_ms: time that the caller waits for the answer
    :param slow_body: whether the body comes some time after the head
    :ivar sent_at: when its first byte was sent, in monotonic seconds
    :ivar read_at: when its last byte was sent
    :ivar ended_at: when its answer or connection ended
    :ivar status: status of the answer; 0 if there was none
    :ivar whole: whether the answer came to its end
    :ivar refused: whether there was no connection
    """

    identity: str
    kind: str
    path: str
    deadline_ms: int
    slow_body: bool = False
    sent_at: float = 0.0
    read_at: float | None = None
    ended_at: float = 0.0
    status: int = 0
    whole: bool = False
    refused: bool = False
    head: str = ""
    body: bytes = b""

    async def send(
        self,
        ip: str,
        port: int,
        streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None,
    ) -> None:
        """Send the request and read its answer.

        :param ip: address of the entry
        :param port: port of the entry
        :param streams: connection that was made earlier, if there is one
        """
        self.sent_at = time.monotonic()
        writer = None
        try:
            if streams is None:
                streams = await asyncio.open_connection(ip, port)
            reader, writer = streams
            await self._write(writer)
            await self._read(reader)
        except ConnectionRefusedError:
            self.refused = True
        except (OSError, EOFError, asyncio.LimitOverrunError):
            pass
        finally:
            self.ended_at = time.monotonic()
            if writer is not None:
                writer.close()

    async def _write(self, writer: asyncio.StreamWriter) -> None:
        fields = make_caller_headers(self.identity, self.deadline_ms)
        lines = [f"POST {self.path} HTTP/1.1", "Content-Length: 1"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        if self.slow_body:
            await asyncio.sleep(BODY_PAUSE_SECONDS)
        writer.write(b"x")
        await writer.drain()
        self.read_at = time.monotonic()

    async def _read(self, reader: asyncio.StreamReader) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        self.head = head.decode().lower()
        self.status = int(head.split(b" ")[1])
        if "chunked" in self.head:
            while size := int(await reader.readuntil(b"\r\n"), 16):
                self.body += (await reader.readexactly(size + 2))[:-2]
            await reader.readexactly(2)
        else:
            length = self.head.partition("content-length:")[2]
            size = int(length.split("\r\n")[0])
            self.body = await reader.readexactly(size)
        self.whole = True

    def is_refusal(self) -> bool:
        """Tell whether the answer says when to come back, and closes."""
        return (
            self.whole
            and self.status == 503
            and "retry-after:" in self.head
            and "connection: close" in self.head
        )
