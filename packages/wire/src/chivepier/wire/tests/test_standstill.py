"""Tests of links to a peer that stands still for some seconds."""

import asyncio
import contextlib

import pytest

from chivepier.types import SystemClock
from chivepier.wire import channel
from chivepier.wire import Faults
from chivepier.wire import LinkError
from chivepier.wire import Links
from chivepier.wire import PeerServer
from chivepier.wire.tests.test_silence import answer
from chivepier.wire.tests.test_silence import KEY
from chivepier.wire.tests.test_silence import REQUEST
from chivepier.wire.tests.test_silence import request_until

STANDSTILL_SECONDS = 4.0


def test_request_outlives_a_peer_that_stands_still_for_seconds():
    # Guards against pings that end what waits with a longer timeout.
    held = asyncio.Event()
    faults = Faults()

    async def answer_late(message, channel):
        await held.wait()
        return answer(message, channel)

    async def body():
        async with (
            PeerServer(
                "127.0.0.1", 0, answer_late, KEY, SystemClock()
            ) as server,
            Links("a:1", KEY, answer, faults, SystemClock()) as links,
        ):
            peer = f"127.0.0.1:{server.port}"
            waiting = asyncio.create_task(links.request(peer, REQUEST, 20))
            while peer not in links._channels:
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.1)
            faults.cut = {peer}
            await asyncio.sleep(STANDSTILL_SECONDS)
            faults.cut = set()
            held.set()
            await waiting

    asyncio.run(body())


@pytest.mark.parametrize("in_use", (True, False))
def test_tasks_and_socket_of_a_link_that_was_given_up_end(monkeypatch, in_use):
    # Guards against one descriptor and two tasks more for each silent link.
    monkeypatch.setattr(channel, "REPLACED_SECONDS", 3.0)

    async def body():
        async with (
            PeerServer("127.0.0.1", 0, answer, KEY, SystemClock()) as server,
            Links("a:1", KEY, answer, Faults(), SystemClock()) as links,
        ):
            peer = f"127.0.0.1:{server.port}"
            await links.request(peer, REQUEST, 5)
            old = links._channels[peer]
            # its peer is silent for good: nothing ends it but this side
            old._faults = Faults({"*"})
            async with asyncio.timeout(10):
                while not (old.closed if in_use else old.replaced):
                    if in_use:
                        with contextlib.suppress(LinkError):
                            await old.request(REQUEST, 0.5)
                    await asyncio.sleep(0.05)
            await request_until(links, peer, True)
            await asyncio.sleep(15)
            assert old._socket.close_code is not None
            assert len(links._tasks) == 2

    asyncio.run(body())
