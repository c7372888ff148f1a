"""A loopback proxy that injects faults into its connections."""

import asyncio
import collections.abc
import contextlib
import random
import socket
import struct
import time

from soak.kerneltimes import is_open
from soak.kerneltimes import measure_arrival
from soak.lateends import LateEnds
from soak.newcomers import Newcomers
from soak.senders import name_accepted
from soak.senders import name_made
from soak.senders import Senders

CHUNK_BYTES = 1 << 16
# Range of the seconds that a slow link delays each chunk: from a few round
# trips between availability zones to more than a call's latency objective.
DELAY_SECONDS = (0.02, 0.4)
# Seconds between two looks whether a connection still hangs.
POLL_SECONDS = 0.02
LOST_SENT = "lost_sent"
LOST_ANSWERS = "lost_answers"
SLOW = "slow"


class Hold:
    """Holds bytes back until it ends; then they arrive, as after a cut."""

    def __init__(self) -> None:
        self._open = asyncio.Event()
        self._open.set()

    def set(self) -> None:
        """Hold back what is to be forwarded."""
        self._open.clear()

    def clear(self) -> None:
        """Forward again."""
        self._open.set()

    @property
    def holds(self) -> bool:
        """Whether bytes are held back now."""
        return not self._open.is_set()

    async def wait_for_end(self) -> None:
        """Wait until nothing is held back."""
        await self._open.wait()


class Proxy:
    """Forwards bytes between its own address and an upstream address.

    ``fault_mode`` holds for all connections: empty for none, ``slow`` delays
    each chunk, ``lost_sent`` and ``lost_answers`` drop the bytes of one
    direction. A connection that has dropped a chunk drops that direction for
    good, without a reset, while new ones work: only a timeout detects it.
    ``silenced_connections`` counts these.

    While ``delay_ends`` lasts, the end of the upstream reaches each connection
    by a time of its own, as a close or a reset as it was, and new connections
    are treated as it says, whether anything listens upstream or not.

    :param address: address to listen on, ``ip:port``
    :param upstream: address to forward to, ``ip:port``
    :param rng: random number generator that draws the delays
    """

    def __init__(self, address: str, upstream: str, rng: random.Random):
        self.address = address
        self.fault_mode = ""
        self.silenced_connections = 0
        self._silenced = {LOST_SENT: 0, LOST_ANSWERS: 0}
        self._upstream = upstream
        self._rng = rng
        self.held = Hold()
        self._late_ends: LateEnds | None = None
        # when the ends that are late arrive, in the loop's time
        self._arrivals: dict[asyncio.StreamWriter, float] = {}
        self._refuses = False
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()
        self.senders = Senders()

    async def __aenter__(self) -> "Proxy":
        await self.listen()
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self

    def refuse(self) -> None:
        """Refuse new connections, as a process that has ended does."""
        self._refuses = True
        if self._server is not None and not self._treats_newcomers:
            self._server.close()

    async def accept_again(self) -> None:
        """Accept new connections if they were refused."""
        if self._refuses:
            self._refuses = False
            await self.listen()

    @contextlib.contextmanager
    def delay_ends(self, late: LateEnds) -> collections.abc.Iterator[None]:
        """Let ends that are read meanwhile arrive late.

        :param late: by how much, and what becomes of new connections
        """
        self._late_ends = late
        try:
            yield
        finally:
            self._late_ends = None
            if self._refuses:
                self.refuse()

    @property
    def _treats_newcomers(self) -> bool:
        """Whether new connections end on the path."""
        late = self._late_ends
        return late is not None and late.newcomers is not Newcomers.FORWARDED

    async def listen(self) -> None:
        """Accept connections, again if that was ended."""
        listens = self._server is not None and self._server.is_serving()
        if self._refuses or listens:
            return
        host, port = self.address.split(":")
        self._server = await asyncio.start_server(
            self._accept, host, int(port)
        )

    async def __aexit__(self, *exc) -> None:
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.reset()

    def reset(self) -> None:
        """Reset all open connections, on both sides."""
        for writer in list(self._writers):
            reset_connection(writer.transport)

    def silence(self, *directions: str) -> None:
        """Drop what open connections carry from now on; new ones work.

        :param directions: ``lost_sent`` or ``lost_answers``; both if omitted
        """
        for direction in directions or self._silenced:
            self._silenced[direction] += 1

    def _accept(self, reader, writer) -> None:
        task = asyncio.create_task(self._serve(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, reader, writer) -> None:
        if self._treats_newcomers:
            await self._lose(writer)
            return
        host, port = self._upstream.split(":")
        try:
            other_reader, other = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, other}
        sender = self._find_sender(writer)
        # noted until both sides have ended: what is told goes no further then
        with self.senders.note(name_made(other.transport), sender):
            try:
                await self._pump_both(reader, writer, other_reader, other)
            except* OSError:
                await self._wait_for_arrival(writer)
                # A reset must not reach the other side as an orderly close.
                reset_connection(writer.transport)
                reset_connection(other.transport)
            finally:
                self._arrivals.pop(writer, None)
                self._writers -= {writer, other}
                writer.transport.abort()
                other.transport.abort()
                # they are closed in the next turn of the loop
                await asyncio.sleep(0)

    async def _lose(self, writer: asyncio.StreamWriter) -> None:
        """Close a new connection, at once or when the path is sound again."""
        late = self._late_ends
        while late is self._late_ends and late.newcomers is Newcomers.HUNG:
            await asyncio.sleep(POLL_SECONDS)
        writer.transport.abort()

    async def _wait_for_arrival(self, writer: asyncio.StreamWriter) -> None:
        """Wait until the end of a connection may reach its caller."""
        now, late = asyncio.get_running_loop().time(), self._late_ends
        if late is not None and writer not in self._arrivals:
            self._arrivals[writer] = now + self._rng.uniform(*late.seconds)
        await asyncio.sleep(max(0.0, self._arrivals.get(writer, now) - now))

    def _find_sender(self, writer: asyncio.StreamWriter) -> str | None:
        """Return the entry that a connection comes from, if known."""
        return self.senders.find(name_accepted(writer.transport))

    async def _pump_both(self, reader, writer, other_reader, other) -> None:
        async with asyncio.TaskGroup() as group:
            group.create_task(self._pump(reader, writer, other, LOST_SENT))
            group.create_task(
                self._pump(other_reader, other, writer, LOST_ANSWERS)
            )

    async def _pump(self, reader, source, writer, dropped_mode: str) -> None:
        silent, began = False, self._silenced[dropped_mode]
        while data := await reader.read(CHUNK_BYTES):
            delay = 0.0
            arrived = self._find_arrival(source)
            if self.fault_mode == SLOW:
                delay = self._rng.uniform(*DELAY_SECONDS)
                await asyncio.sleep(delay)
            is_dropped = self.fault_mode == dropped_mode
            is_dropped |= self._silenced[dropped_mode] != began
            if is_dropped and not silent:
                silent = True
                self.silenced_connections += 1
            if self.held.holds:
                await self.held.wait_for_end()
                arrived, delay = time.monotonic(), 0.0
            if not silent:
                if dropped_mode == LOST_SENT:
                    made = name_made(writer.transport)
                    self.senders.note_arrival(made, arrived + delay)
                else:
                    self._tell(source, writer)
                writer.write(data)
                await writer.drain()
        if dropped_mode == LOST_ANSWERS:
            await self._wait_for_arrival(writer)
        if not silent:
            writer.write_eof()

    def _find_arrival(self, source: asyncio.StreamWriter) -> float:
        """Return when the last bytes of a connection arrived here."""
        accepted = name_accepted(source.transport)
        earlier = self.senders.find_arrival(accepted)
        if earlier is not None:
            return earlier
        return measure_arrival(source.transport)

    def _tell(
        self, source: asyncio.StreamWriter, writer: asyncio.StreamWriter
    ) -> None:
        """Hand on what is told with the bytes that are written now."""
        accepted = name_accepted(writer.transport)
        for told in self.senders.take_untold(name_made(source.transport)):
            if self.senders.is_followed(accepted):
                self.senders.call_when_told(accepted, told)
            elif is_open(writer.transport):
                told(time.monotonic())


def reset_connection(transport: asyncio.Transport) -> None:
    """Reset a connection; an abort alone ends it as a close does."""
    sock = transport.get_extra_info("socket")
    if sock.fileno() < 0:
        return
    # With a linger time of zero, closing sends a reset to the peer.
    linger = struct.pack("ii", 1, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    transport.abort()
