"""Tests of the proxy: what it forwards, and the faults that it injects."""

import asyncio
import contextlib
import gc
import random
import socket
import struct

import pytest

from soak.lateends import LateEnds
from soak.newcomers import Newcomers
from soak.proxy import LOST_ANSWERS
from soak.proxy import LOST_SENT
from soak.proxy import Proxy
from soak.proxy import SLOW
from soak.senders import name_accepted
from soak.senders import Senders
from soak.targetlink import TargetLink


class Echo:
    """Echoes received bytes, and records them."""

    def __init__(self) -> None:
        self.got = b""

    async def serve(self, reader, writer) -> None:
        """Echo one connection."""
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(100):
                self.got += data
                writer.write(data)
        writer.close()


def run_scenario(test) -> None:
    """Run a test with a proxy in front of an echo server."""

    async def work():
        echo = Echo()
        server = await asyncio.start_server(echo.serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        proxy = Proxy("127.0.0.1:0", f"{host}:{port}", random.Random(1))
        async with asyncio.timeout(10), server, proxy:
            await test(proxy, echo)

    asyncio.run(work())


async def connect(proxy):
    """Open a connection through the proxy."""
    host, port = proxy.address.split(":")
    return await asyncio.open_connection(host, int(port))


async def exchange(reader, writer, data: bytes) -> bytes:
    """Send data and return the echo."""
    writer.write(data)
    return await reader.readexactly(len(data))


async def wait_for_silence(proxy) -> None:
    """Wait until the proxy has dropped bytes of a connection."""
    while not proxy.silenced_connections:
        await asyncio.sleep(0.01)


@pytest.mark.parametrize("fault_mode", ["", SLOW])
def test_bytes_go_both_ways(fault_mode):
    async def test(proxy, echo):
        proxy.fault_mode = fault_mode
        reader, writer = await connect(proxy)
        assert await exchange(reader, writer, b"abc") == b"abc"
        writer.write_eof()
        assert await reader.read() == b""
        writer.close()

    run_scenario(test)


def test_silenced_connection_stays_silent_while_new_ones_work():
    async def test(proxy, echo):
        reader, writer = await connect(proxy)
        assert await exchange(reader, writer, b"a") == b"a"
        proxy.fault_mode = LOST_ANSWERS
        writer.write(b"b")
        await wait_for_silence(proxy)
        fresh = await connect(proxy)
        answer = asyncio.create_task(reader.read(1))
        proxy.fault_mode = ""
        assert await exchange(*fresh, b"c") == b"c"
        writer.write(b"d")
        await asyncio.sleep(0.05)
        assert not answer.done()
        answer.cancel()
        writer.close()
        fresh[1].close()

    run_scenario(test)


def test_sent_bytes_can_be_dropped():
    async def test(proxy, echo):
        reader, writer = await connect(proxy)
        assert await exchange(reader, writer, b"a") == b"a"
        proxy.fault_mode = LOST_SENT
        writer.write(b"b")
        await wait_for_silence(proxy)
        assert echo.got == b"a"
        writer.close()

    run_scenario(test)


def test_reset_ends_open_connections():
    async def test(proxy, echo):
        reader, writer = await connect(proxy)
        assert await exchange(reader, writer, b"a") == b"a"
        proxy.reset()
        with pytest.raises(ConnectionResetError):
            await reader.read(1)
        writer.close()

    run_scenario(test)


def test_target_learns_which_entry_a_connection_comes_from():
    # A forwarded request was held against the entry that its caller asked.
    async def work():
        senders, seen = Senders(), []

        async def answer(reader, writer):
            await reader.readline()
            seen.append(senders.find(name_accepted(writer.transport)))
            writer.write(b"x\n")
            await writer.drain()

        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        rng = random.Random(1)
        async with Proxy("127.0.0.1:0", f"127.0.0.1:{port}", rng) as proxy:
            link = TargetLink("127.0.0.1:0", proxy.address, rng)
            proxy.senders = link.senders = senders
            link.entry = "e1"
            async with link:
                for address in (link.address, proxy.address):
                    host, text = address.split(":")
                    reader, writer = await asyncio.open_connection(
                        host, int(text)
                    )
                    writer.write(b"x\n")
                    await reader.readline()
                    writer.close()
        server.close()
        assert seen == ["e1", None]

    asyncio.run(work())


@pytest.mark.parametrize("late", (None, LateEnds((0.0, 0.1))))
def test_reset_of_one_side_reaches_the_other_as_a_reset(late):
    # A stream that its target had reset looked whole to the entry.
    async def serve(reader, writer):
        writer.write(b"abc")
        await writer.drain()
        await asyncio.sleep(0.05)
        option = struct.pack("ii", 1, 0)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)
        writer.transport.abort()

    async def work():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        proxy = Proxy("127.0.0.1:0", f"{host}:{port}", random.Random(1))
        stack = contextlib.ExitStack()
        async with asyncio.timeout(10), server, proxy:
            if late is not None:
                stack.enter_context(proxy.delay_ends(late))
            reader, writer = await connect(proxy)
            assert await reader.readexactly(3) == b"abc"
            with pytest.raises(ConnectionResetError):
                await reader.read()
            writer.close()

    failures = []
    loop = asyncio.new_event_loop()
    loop.set_exception_handler(lambda _, context: failures.append(context))
    loop.run_until_complete(work())
    gc.collect()
    loop.close()
    assert not failures


def test_proxy_of_an_ended_process_refuses_until_it_is_back():
    # A target that had been killed looked alive through its proxy.
    async def test(proxy, echo):
        proxy.refuse()
        with pytest.raises(ConnectionRefusedError):
            await connect(proxy)
        await proxy.accept_again()
        reader, writer = await connect(proxy)
        assert await exchange(reader, writer, b"abc") == b"abc"
        writer.close()

    run_scenario(test)


class FallingDelays(random.Random):
    """Draws a long delay first, and then the shortest."""

    def __init__(self) -> None:
        super().__init__(1)
        self.drawn = 0

    def uniform(self, a: float, b: float) -> float:
        """Return the highest value of the range once, then the lowest."""
        self.drawn += 1
        return b if self.drawn == 1 else a


def test_each_end_arrives_by_a_time_of_its_own():
    # The ends of a target's connections came all at once, in their order.
    async def work():
        closers, callers, ends = [], [], []

        async def serve(reader, writer):
            closers.append(writer)

        async def note_end(reader, name):
            await reader.read()
            ends.append(name)

        delays = FallingDelays()
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        proxy = Proxy("127.0.0.1:0", f"{host}:{port}", delays)
        async with asyncio.timeout(10), server, proxy:
            with proxy.delay_ends(LateEnds((0.0, 0.3))):
                async with asyncio.TaskGroup() as group:
                    for number, name in enumerate(("first", "second"), 1):
                        reader, writer = await connect(proxy)
                        callers.append(writer)
                        group.create_task(note_end(reader, name))
                        while len(closers) < number:
                            await asyncio.sleep(0.01)
                        closers[-1].close()
                        while delays.drawn < number:
                            await asyncio.sleep(0.01)
            for writer in callers:
                writer.close()
        assert ends == ["second", "first"]

    asyncio.run(work())


@pytest.mark.parametrize("newcomers", (Newcomers.CLOSED, Newcomers.HUNG))
def test_newcomers_to_an_ended_process_are_taken_and_lost(newcomers):
    # Each new connection to a process that had ended was refused.
    async def test(proxy, echo):
        with proxy.delay_ends(LateEnds((0.0, 0.0), newcomers)):
            proxy.refuse()
            reader, writer = await connect(proxy)
            end = asyncio.create_task(reader.read())
            if newcomers is Newcomers.CLOSED:
                assert await end == b""
            assert end.done() == (newcomers is Newcomers.CLOSED)
        assert await end == b""
        writer.close()
        with pytest.raises(ConnectionRefusedError):
            await connect(proxy)
        await proxy.accept_again()
        reader, writer = await connect(proxy)
        assert await exchange(reader, writer, b"abc") == b"abc"
        writer.close()

    run_scenario(test)
