"""Message exchange over one connection between two processes."""

import asyncio
import collections.abc
import inspect
import itertools
import typing

import logbook
import websockets

from chivepier.types import Clock
from chivepier.wire.faults import Faults
from chivepier.wire.frame import dump_frames
from chivepier.wire.frame import load_frame
from chivepier.wire.frame import pack_part
from chivepier.wire.frame import Part
from chivepier.wire.linkerror import LinkError
from chivepier.wire.outbox import Outbox
from chivepier.wire.refusederror import RefusedError
from chivepier.wire.traffic import Traffic

log = logbook.Logger("wire")

Handler = typing.Callable[[typing.Any, "Channel"], typing.Any]

# A link without received frames for this long is closed when a request on it
# times out.
MAX_SILENCE_SECONDS = 2.0
# Seconds without received frames after which a channel is pinged, and those
# to wait for the answer. Short enough that a link is replaced before a leader
# loses its followers.
PING_AFTER_SECONDS = 0.5
PONG_SECONDS = 0.5
# Seconds after a timeout in which what has arrived is handled: after a stall
# of this process, timeouts come first.
ARRIVAL_SECONDS = 0.02
# Seconds without received frames after which a replaced channel is closed;
# longer than the pauses of what is still in progress on it.
REPLACED_SECONDS = 30.0


def prepare(value: typing.Any) -> tuple:
    """Pack a one-way message once, to send it to several peers.

    :param value: a registered message
    :returns: the packed message, for :meth:`Channel.send_prepared`
    """
    return pack_part(Part.SEND, 0, value)


class Channel:
    """Exchanges requests, answers and one-way messages over one websocket.

    Everything that is queued when the writer runs is sent as one frame, which
    saves overhead on a busy link; no message waits for a frame to fill.

    :param socket: the websocket connection
    :param peer: address of the peer as ``ip:port``
    :param handler: handles received messages and returns the answer, if any
    :param faults: peers whose frames are dropped, for tests
    :param traffic: counters of the process's peer links
    :param clock: measures the age of messages and the silence of the peer
    :param handle_silence: called when a request or ping times out and nothing
        has been received since
    """

    def __init__(
        self,
        socket,
        peer: str,
        handler: Handler,
        faults: Faults,
        traffic: Traffic,
        clock: Clock,
        handle_silence: collections.abc.Callable[
            ["Channel"], None
        ] = lambda channel: None,
    ):
        self.peer = peer
        self._socket = socket
        self._handler = handler
        self._faults = faults
        self._traffic = traffic
        self._clock = clock
        self._handle_silence = handle_silence
        self._request_numbers = itertools.count(1)
        self._pending: dict[int, asyncio.Future] = {}
        self._outbox = Outbox(clock)
        self._ready = asyncio.Event()
        self._tasks: set[asyncio.Task] = set()
        self._last_received = self._clock.monotonic()
        self._silent_since: float | None = None
        self.closed = False
        self.replaced = False

    async def run(self) -> None:
        """Receive and send messages until the connection ends."""
        writer = asyncio.create_task(self._write())
        try:
            async for data in self._socket:
                if self.closed:
                    break
                if not self._faults.blocks(self.peer):
                    self._note_received()
                    self._receive(data)
        except websockets.ConnectionClosed:
            pass
        finally:
            self.closed = True
            writer.cancel()
            self._fail_pending()
            await self._socket.close()

    def _note_received(self) -> None:
        self._last_received = self._clock.monotonic()
        self._silent_since = None

    def measure_quiet(self) -> float:
        """Return the seconds since anything was received."""
        return self._clock.monotonic() - self._last_received

    def count_pending(self) -> int:
        """Return the number of requests that wait for an answer."""
        return len(self._pending)

    async def watch(self) -> None:
        """Ping the peer while nothing is received, until the channel closes.

        A connection may go silent for good without a reset. Without pings, an
        idle one, or one that carries one-way messages only, would be noticed
        with the first requests that are lost.
        """
        while not self.closed:
            await self._clock.sleep(PING_AFTER_SECONDS)
            now = self._clock.monotonic()
            quiet = now - self._last_received
            if self.replaced:
                if quiet > REPLACED_SECONDS and not self._pending:
                    await self.close()
            elif quiet >= PING_AFTER_SECONDS and not self.closed:
                await self._ping(now)
        # what was given up reads no more, and would stay open
        await self._socket.close()

    async def _ping(self, sent: float) -> None:
        try:
            async with asyncio.timeout(PONG_SECONDS):
                if self._faults.blocks(self.peer):
                    await asyncio.Event().wait()
                await (await self._socket.ping())
        except TimeoutError:
            # no request has waited: a peer that stands still may answer yet
            self._check_silence_soon(sent)
        except websockets.ConnectionClosed:
            return
        else:
            self._note_received()

    async def _write(self) -> None:
        while True:
            await self._ready.wait()
            self._ready.clear()
            try:
                while parts := self._outbox.take():
                    await self._send(parts)
            except websockets.ConnectionClosed:
                return

    async def _send(self, parts: list[tuple]) -> None:
        if self._faults.blocks(self.peer):
            return
        for data in dump_frames(parts):
            self._traffic.count_sent(len(data))
            await self._socket.send(data)

    def _receive(self, data: bytes) -> None:
        self._traffic.count_received(len(data))
        try:
            parts = load_frame(data)
        except ValueError as error:
            log.warn(
                "malformed frame ignored peer={} error={}", self.peer, error
            )
            return
        for part, number, value in parts:
            match part:
                case Part.ANSWER:
                    self._resolve(number, value)
                case Part.FAILED:
                    self._reject(number, value)
                case Part.REQUEST | Part.SEND:
                    self._handle(part, number, value)

    def _handle(self, part: Part, number: int, value: typing.Any) -> None:
        try:
            answer = self._handler(value, self)
        except RefusedError as error:
            self._reply_error(part, number, error)
            return
        except (
            Exception
        ) as error:  # the peer gets the error, the link stays open
            log.exception("handler failed message={}", type(value).__name__)
            self._reply_error(part, number, error)
            return
        if inspect.isawaitable(answer):
            task = asyncio.ensure_future(
                self._await_answer(part, number, answer)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            return
        self._reply(part, number, answer)

    async def _await_answer(self, part: Part, number: int, answer) -> None:
        try:
            value = await answer
        except RefusedError as error:
            self._reply_error(part, number, error)
            return
        except Exception as error:
            log.warn("handler failed error={!r}", error)
            self._reply_error(part, number, error)
            return
        self._reply(part, number, value)

    def _reply(self, part: Part, number: int, value: typing.Any) -> None:
        if part is Part.REQUEST and value is not None:
            self._enqueue(pack_part(Part.ANSWER, number, value))

    def _reply_error(self, part: Part, number: int, error) -> None:
        if part is Part.REQUEST:
            self._enqueue(pack_part(Part.FAILED, number, repr(error)))

    def _enqueue(self, part: tuple) -> None:
        if self.closed:
            return
        dropped = self._outbox.add(part)
        if dropped:
            self._traffic.dropped_parts += dropped
            log.warn(
                "expired messages dropped peer={} parts={}", self.peer, dropped
            )
        self._ready.set()

    def send(self, value: typing.Any) -> None:
        """Queue a one-way message; it is lost if the connection breaks.

        :param value: a registered message
        """
        self._enqueue(prepare(value))

    def send_prepared(self, part: tuple) -> None:
        """Queue a one-way message that was packed once for several peers.

        :param part: the message as packed by :func:`prepare`
        """
        self._enqueue(part)

    async def request(self, value: typing.Any, timeout: float) -> typing.Any:
        """Send a request and wait for its answer.

        :param value: a registered message
        :param timeout: maximum time to wait for the answer, in seconds
        :returns: the message in the answer
        :raises LinkError: when the link fails or the timeout expires
        """
        if self.closed:
            raise LinkError(f"link to {self.peer} is closed", sent=False)
        sent = self._clock.monotonic()
        number = next(self._request_numbers)
        future = asyncio.get_running_loop().create_future()
        self._pending[number] = future
        self._enqueue(pack_part(Part.REQUEST, number, value))
        try:
            async with asyncio.timeout(timeout):
                return await future
        except TimeoutError:
            self._handle_timeout(sent)
            text = f"no answer from {self.peer} in {timeout}s"
            raise LinkError(text, sent=True) from None
        finally:
            self._pending.pop(number, None)

    def _handle_timeout(self, sent: float) -> None:
        self._check_silence_soon(sent)
        # After a long partition TCP may wait minutes before it retransmits;
        # closing the link makes the next request open a new connection.
        if self._silent_since is None:
            self._silent_since = max(sent, self._last_received)
        if self._clock.monotonic() - self._silent_since > MAX_SILENCE_SECONDS:
            self.closed = True
            self._outbox.clear()
            self._fail_pending()

    def _check_silence_soon(self, sent: float) -> None:
        asyncio.get_running_loop().call_later(
            ARRIVAL_SECONDS, self._check_silence, sent
        )

    def _check_silence(self, sent: float) -> None:
        if self._last_received <= sent:
            self._handle_silence(self)

    def _resolve(self, number: int, value: typing.Any) -> None:
        future = self._pending.pop(number, None)
        if future is not None and not future.done():
            future.set_result(value)

    def _reject(self, number: int, text: str) -> None:
        future = self._pending.pop(number, None)
        if future is not None and not future.done():
            future.set_exception(LinkError(text, sent=True))

    def _fail_pending(self) -> None:
        for future in self._pending.values():
            if not future.done():
                text = f"link to {self.peer} was lost"
                future.set_exception(LinkError(text, sent=True))
        self._pending.clear()

    async def close(self) -> None:
        """Close the connection."""
        self.closed = True
        await self._socket.close()
