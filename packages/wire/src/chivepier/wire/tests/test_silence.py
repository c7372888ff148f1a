"""Tests of links that fall silent without a connection reset."""

import asyncio
import contextlib
import socket

import pytest

from chivepier.messages import FreshAnswer
from chivepier.messages import FreshRequest
from chivepier.types import SystemClock
from chivepier.wire import Faults
from chivepier.wire import LinkError
from chivepier.wire import Links
from chivepier.wire import PeerServer

KEY = "key-of-tests"
REQUEST = FreshRequest("a", 1, 1)


def answer(message, channel):
    """Answer each request."""
    return FreshAnswer("b", 1, 2)


@contextlib.asynccontextmanager
async def connect():
    """Yield links, the address of a peer, and the faults of the links."""
    faults = Faults()
    async with PeerServer(
        "127.0.0.1", 0, answer, KEY, SystemClock()
    ) as server:
        async with Links("a:1", KEY, answer, faults, SystemClock()) as links:
            yield links, f"127.0.0.1:{server.port}", faults


async def request_until(links, peer, outcome):
    """Repeat a request until it succeeds, or until it fails."""
    async with asyncio.timeout(30):
        while True:
            try:
                await links.request(peer, REQUEST, 0.2)
                if outcome:
                    return
            except LinkError:
                if not outcome:
                    return
                await asyncio.sleep(0.01)


def test_silent_link_is_closed_and_replaced():
    """A partition without a reset outlasts the maximum silence of a link.

    Requests end at their timeout. The first one after the partition is
    answered over a new connection: TCP might retransmit on the old one only
    minutes later.
    """

    async def body():
        async with connect() as (links, peer, faults):
            await links.request(peer, REQUEST, 5)
            old = links._channels[peer]
            faults.cut = {peer}
            async with asyncio.timeout(30):
                while not old.closed:
                    with pytest.raises(LinkError):
                        await links.request(peer, REQUEST, 0.2)
            faults.cut = set()
            await request_until(links, peer, True)
            assert links._channels[peer] is not old

    asyncio.run(body())


def test_concurrent_requests_share_one_connection_attempt():
    """A peer does not answer the handshake of many concurrent requests.

    With one connection attempt after the other, requests would wait for the
    earlier ones beyond their own timeout.
    """

    async def body():
        async with connect() as (links, peer, faults):
            faults.cut = {peer}
            requests = [links.request(peer, REQUEST, 0.3) for _ in range(20)]
            async with asyncio.timeout(4):
                done = await asyncio.gather(*requests, return_exceptions=True)
            assert all(isinstance(e, LinkError) for e in done)
            assert not any(e.sent for e in done)

    asyncio.run(body())


def test_slow_answer_does_not_close_an_idle_link():
    """One request times out on a link that had been idle for long.

    Closing the link would fail other requests that wait on it, such as those
    in a queue at the peer.
    """

    async def body():
        async with connect() as (links, peer, faults):
            await links.request(peer, REQUEST, 5)
            channel = links._channels[peer]
            channel._last_received -= 1000
            faults.cut = {peer}
            with pytest.raises(LinkError):
                await links.request(peer, REQUEST, 0.05)
            assert not channel.closed

    asyncio.run(body())


def test_no_user_timeout_decides_when_a_link_ends():
    # A link ends by the silence of its requests alone; a user timeout would
    # end it by that of the kernel's probes, on one side only.
    async def work():
        async with connect() as (links, peer, _):
            await request_until(links, peer, True)
            used = links._channels[peer]._socket.transport.get_extra_info(
                "socket"
            )
            option = used.getsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT
            )
            assert option == 0

    asyncio.run(work())
