"""Bytes that come behind the whole answer of a plain service."""

import asyncio
import contextlib
import socket

import pytest

from chivepier.node.tests.fakeentry import make_entry
from chivepier.node.tests.rawservice import PASSES
from chivepier.node.tests.test_servicecaller import make_caller
from chivepier.types import RequestError


def build_answer(body: bytes, status: bytes = b"200 OK") -> bytes:
    """Build an answer that keeps its connection."""
    size = b"Content-Length: %d\r\n\r\n" % len(body)
    return b"HTTP/1.1 " + status + b"\r\n" + size + body


FIRST = build_answer(b"first")
# what comes behind the first answer
SURPLUS = {
    "answer": build_answer(b"stale"),
    "error": build_answer(b"stale", b"500 Trouble"),
    "text": b"stale",
}


async def get(entry) -> bytes | None:
    """Return the body of an answer; ``None`` if there was none."""
    with contextlib.suppress(RequestError):
        return (await make_caller(entry, "GET", idempotent=True).run()).body
    return None


class SurplusService:
    """Answers each call on a kept connection, the first one with more.

    :param surplus: what follows the first answer
    :param is_late: whether it waits until the answer was taken
    """

    def __init__(self, surplus: bytes, is_late: bool):
        self._surplus = surplus
        self._is_late = is_late
        self.taken = asyncio.Event()
        self.sent = asyncio.Event()
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
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                self.calls += 1
                if self.calls > 1:
                    writer.write(build_answer(b"second"))
                    continue
                if not self._is_late:
                    writer.write(FIRST + self._surplus)
                    self.sent.set()
                    continue
                writer.write(FIRST)
                await self.taken.wait()
                writer.write(self._surplus)
                await writer.drain()
                self.sent.set()
        writer.close()


@pytest.mark.parametrize("is_late", (False, True))
@pytest.mark.parametrize("name", SURPLUS)
def test_bytes_behind_an_answer_are_never_that_to_the_next_call(name, is_late):
    # The next caller got what another one's connection had brought too much.
    async def work():
        service = SurplusService(SURPLUS[name], is_late)
        async with service, make_entry(service.address) as entry:
            bodies = [await get(entry)]
            service.taken.set()
            await service.sent.wait()
            # the entry, on the same loop, takes what was sent
            for _ in range(PASSES):
                await asyncio.sleep(0)
            bodies.append(await get(entry))
            # text in the same bytes makes the first answer a broken one
            is_broken = name == "text" and not is_late
            assert bodies == [None if is_broken else b"first", b"second"]

    asyncio.run(work())
