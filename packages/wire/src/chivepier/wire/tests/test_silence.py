"""Tests of links that fall silent without a connection reset."""

import asyncio
import contextlib
import itertools
import socket

import pytest

from chivepier.messages import FreshAnswer
from chivepier.messages import FreshRequest
from chivepier.standins.loopclock import LoopClock
from chivepier.standins.onewaylink import deafen
from chivepier.standins.onewaylink import mute
from chivepier.standins.playedloop import play_time
from chivepier.types import SystemClock
from chivepier.wire import Faults
from chivepier.wire import LinkError
from chivepier.wire import Links
from chivepier.wire import PeerServer

KEY = "key-of-tests"
REQUEST = FreshRequest("a", 1, 1)
# Seconds between two messages that a peer pushes, and in which a link that
# loses what is sent is replaced: less than a lease, or a change, may take.
PUSH_SECONDS = 0.05
REPLACED_IN_SECONDS = 2.0


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


def silence(channel):
    """Let an open connection go silent for good; new ones work."""
    channel._faults = Faults({"*"})


def test_idle_link_that_goes_silent_is_replaced_before_it_is_used():
    """Guards against the first requests on a silent link that are lost.

    A link that carries one-way messages only would never be replaced.
    """

    async def body():
        async with connect() as (links, peer, _):
            await links.request(peer, REQUEST, 5)
            old = links._channels[peer]
            silence(old)
            async with asyncio.timeout(10):
                while links._channels[peer] is old:
                    await asyncio.sleep(0.01)
            await links.request(peer, REQUEST, 5)

    asyncio.run(body())


def test_first_timeout_on_a_silent_link_replaces_it():
    """Guards against a silent link that is used for two seconds more."""

    async def body():
        async with connect() as (links, peer, _):
            await links.request(peer, REQUEST, 5)
            old = links._channels[peer]
            silence(old)
            with pytest.raises(LinkError):
                await links.request(peer, REQUEST, 0.01)
            assert old._silent_since is not None
            async with asyncio.timeout(0.4):
                while links._channels[peer] is old:
                    await asyncio.sleep(0.01)
            assert not old.closed

    asyncio.run(body())


def test_request_in_progress_is_answered_after_its_link_was_replaced():
    """Guards against answers that are lost as a peer stood still."""
    held = asyncio.Event()

    async def answer_late(message, channel):
        await held.wait()
        return answer(message, channel)

    async def body():
        async with (
            PeerServer(
                "127.0.0.1", 0, answer_late, KEY, SystemClock()
            ) as server,
            Links("a:1", KEY, answer, Faults(), SystemClock()) as links,
        ):
            peer = f"127.0.0.1:{server.port}"
            waiting = asyncio.create_task(links.request(peer, REQUEST, 20))
            async with asyncio.timeout(10):
                while peer not in links._channels:
                    await asyncio.sleep(0.01)
                old = links._channels[peer]
                await asyncio.sleep(0.1)
                silence(old)
                while links._channels[peer] is old:
                    await asyncio.sleep(0.01)
                old._faults = Faults()
                held.set()
                await waiting
            old._last_received -= 1000
            async with asyncio.timeout(10):
                while not old.closed:
                    await asyncio.sleep(0.01)

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


@contextlib.asynccontextmanager
async def connect_pushed(handle):
    """Yield links and the address of a peer that pushes all the time."""
    channels, clock = [], LoopClock()

    def serve(message, channel):
        if channel not in channels:
            channels.append(channel)
        return handle(message, channel)

    async def push():
        while True:
            for channel in channels:
                channel.send(REQUEST)
            await asyncio.sleep(PUSH_SECONDS)

    async with (
        PeerServer("127.0.0.1", 0, serve, KEY, clock) as server,
        Links("a:1", KEY, answer, Faults(), clock) as links,
    ):
        task = asyncio.create_task(push())
        yield links, f"127.0.0.1:{server.port}"
        task.cancel()


async def await_replacement(links, peer, old):
    """Wait until another link is used; fail after some time."""
    async with asyncio.timeout(REPLACED_IN_SECONDS):
        while links._channels[peer] is old:
            await asyncio.sleep(0.01)


ONE_WAY = pytest.mark.parametrize("lose", (mute, deafen))


@ONE_WAY
def test_idle_link_that_is_silent_one_way_is_replaced_beside_pushes(lose):
    # Guards against pushes that pass for life where all requests are lost.
    async def body():
        async with connect_pushed(answer) as (links, peer):
            await links.request(peer, REQUEST, 5)
            old = links._channels[peer]
            lose(old)
            await await_replacement(links, peer, old)
            await links.request(peer, REQUEST, 5)

    play_time(body())


@ONE_WAY
def test_link_that_is_silent_one_way_is_replaced_beside_its_timeouts(lose):
    # Guards against timeouts that count for nothing as a push came since.
    async def body():
        async with connect_pushed(answer) as (links, peer):
            await links.request(peer, REQUEST, 5)
            old = links._channels[peer]
            lose(old)
            async with asyncio.timeout(REPLACED_IN_SECONDS):
                await request_until(links, peer, False)
                await request_until(links, peer, True)
            assert links._channels[peer] is not old

    play_time(body())


@ONE_WAY
def test_link_that_is_silent_one_way_is_replaced_beside_open_requests(lose):
    # Guards against a link that is kept since a request still waits on it.
    held = asyncio.Event()

    async def hold(message, channel):
        await held.wait()
        return answer(message, channel)

    async def body():
        async with connect_pushed(hold) as (links, peer):
            waiting = asyncio.create_task(links.request(peer, REQUEST, 20))
            while peer not in links._channels:
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.1)
            old = links._channels[peer]
            lose(old)
            await await_replacement(links, peer, old)
            waiting.cancel()

    play_time(body())


def test_link_of_a_peer_that_answers_slowly_is_kept():
    # Guards against links that are opened anew for each slow answer.
    async def answer_late(message, channel):
        await asyncio.sleep(3)
        return answer(message, channel)

    async def body():
        async with connect_pushed(answer_late) as (links, peer):
            with pytest.raises(LinkError):
                await links.request(peer, REQUEST, 0.2)
            old = links._channels[peer]
            for _ in range(20):
                with pytest.raises(LinkError):
                    await links.request(peer, REQUEST, 0.2)
            await links.request(peer, REQUEST, 5)
            assert links._channels[peer] is old
            assert not old.closed and not old.replaced

    play_time(body())


def test_busy_link_is_not_pinged_more_often_than_an_idle_one():
    # Guards against a ping for each timeout or frame.
    async def answer_late(message, channel):
        await asyncio.sleep(3)
        return answer(message, channel)

    async def body():
        async with connect_pushed(answer_late) as (links, peer):
            with pytest.raises(LinkError):
                await links.request(peer, REQUEST, 0.2)
            socket_used = links._channels[peer]._socket
            ping, pings = socket_used.ping, []

            async def count_ping():
                pings.append(asyncio.get_running_loop().time())
                return await ping()

            socket_used.ping = count_ping
            for _ in range(25):
                with pytest.raises(LinkError):
                    await links.request(peer, REQUEST, 0.2)
            assert len(pings) > 5
            pairs = itertools.pairwise(pings)
            assert min(b - a for a, b in pairs) >= 0.5 - 1e-6

    play_time(body())


def test_process_that_stood_still_keeps_its_links():
    # Guards against a process that replaces all its links after a stall.
    stalls = {n: 1.5 for n in range(1003, 1020, 3)}

    def find_delay(now):
        return stalls.pop(int(now), 0.0)

    async def body():
        async with connect_pushed(answer) as (links, peer):
            await links.request(peer, REQUEST, 5)
            old = links._channels[peer]
            while stalls:
                await asyncio.sleep(0.01)
            await asyncio.sleep(2)
            assert links._channels[peer] is old

    play_time(body(), find_delay)
