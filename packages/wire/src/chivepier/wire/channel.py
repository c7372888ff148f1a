"""Message exchange over one connection between two processes."""

import asyncio
import collections.abc
import inspect
import itertools
import math
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
from chivepier.wire.patience import Patience
from chivepier.wire.refusederror import RefusedError
from chivepier.wire.traffic import Traffic

log = logbook.Logger("wire")
# Its lines are among the events of a process.
link_log = logbook.Logger("link")

Handler = typing.Callable[[typing.Any, "Channel"], typing.Any]

# A link without received frames for this long is closed when a request on it
# times out.
MAX_SILENCE_SECONDS = 2.0
# Seconds without a round trip after which a channel is pinged. Short enough
# that a link is replaced before a leader loses its followers.
PING_AFTER_SECONDS = 0.5
# Share of the waiting time after a request that has timed out: it has waited
# already.
DOUBT_SHARE = 0.4
# Seconds by which the end of a ping is late where this process stood still
# itself: the answer may not have been read yet.
STALL_SECONDS = 0.25
# Seconds after a timeout in which what has arrived is handled: after a stall
# of this process, timeouts come first.
ARRIVAL_SECONDS = 0.02
# Seconds without received frames after which a replaced channel is closed, and
# one whose peer has gone; longer than the pauses of what is still in progress.
REPLACED_SECONDS = 30.0
# Seconds for which a close waits for the peer's: longer than a round trip, as
# a process that ends has little time.
CLOSE_SECONDS = 1.0
# Seconds without received frames after which an accepted channel is pinged.
LOOK_AFTER_SECONDS = 10.0


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
    :param handle_silence: called when a ping is not answered
    :param patience: how long to wait for a pong; a new one if omitted
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
        patience: Patience | None = None,
    ):
        self.peer = peer
        self._socket = socket
        self._handler = handler
        self._faults = faults
        self._traffic = traffic
        self._clock = clock
        self._handle_silence = handle_silence
        self._patience = patience or Patience()
        self._request_numbers = itertools.count(1)
        self._pending: dict[int, tuple[asyncio.Future, float]] = {}
        self._outbox = Outbox(clock)
        self._ready = asyncio.Event()
        self._tasks: set[asyncio.Task] = set()
        self._watching: set[asyncio.Task] = set()
        self._last_received = self._clock.monotonic()
        # the newest moment that something was sent at which was answered
        self._confirmed = self._last_received
        self._pinged = -math.inf
        self._silent_since: float | None = None
        self._refused_parts = 0
        self.closed = False
        self.replaced = False
        self._replacement: asyncio.Future | None = None

    async def run(self) -> None:
        """Receive and send messages until the connection ends."""
        writer = asyncio.create_task(self.guard(self._write()))
        try:
            await self.guard(self._read())
        finally:
            self.closed = True
            writer.cancel()
            self._fail_pending()
            await self._socket.close()

    async def guard(self, work: collections.abc.Awaitable) -> None:
        """Run a part of the channel; an error closes the connection.

        A channel that went on without its writer would send nothing more,
        and yet be kept, as the library answers pings.

        :param work: the part's coroutine
        """
        try:
            await work
        except websockets.ConnectionClosed:
            return
        except Exception as error:
            link_log.warning("link ends peer={} error={!r}", self.peer, error)
            await self.close()

    async def _read(self) -> None:
        async for data in self._socket:
            if self.closed:
                break
            if not self._faults.blocks(self.peer):
                self._note_received()
                self._receive(data)

    def _note_received(self) -> None:
        self._last_received = self._clock.monotonic()
        self._silent_since = None

    def measure_quiet(self) -> float:
        """Return the seconds since anything was received."""
        return self._clock.monotonic() - self._last_received

    def measure_unconfirmed(self) -> float:
        """Return the seconds since anything was sent that was answered."""
        return self._clock.monotonic() - self._confirmed

    def replace(self) -> None:
        """Note that another channel to the peer is used from now on."""
        self.replaced = True
        if self._replacement is not None and not self._replacement.done():
            self._replacement.set_result(None)

    def watch_replacement(self) -> asyncio.Future:
        """Return what is done once another channel has replaced this one.

        What waits for an answer here may ask again there, if it may be asked
        twice; the answer may still come here.
        """
        if self._replacement is None:
            self._replacement = asyncio.get_running_loop().create_future()
            if self.replaced:
                self._replacement.set_result(None)
        return self._replacement

    def count_pending(self) -> int:
        """Return the number of requests that wait for an answer."""
        return len(self._pending)

    async def watch(self) -> None:
        """Ping the peer while nothing is answered, until the channel closes.

        A connection may go silent for good without a reset, and in one
        direction only: what a peer pushes does not tell that it gets what is
        sent to it. Only a round trip does.
        """
        while not self.closed:
            await self._clock.sleep(self._find_pause())
            now = self._clock.monotonic()
            if self.replaced:
                quiet = now - self._last_received
                if quiet > REPLACED_SECONDS and not self._pending:
                    await self.close()
            elif not self.closed and self._find_pause() <= 0:
                await self._ping(now)
        # what was given up reads no more, and would stay open
        await self._socket.close()

    async def await_end(self) -> None:
        """Close a connection whose peer has replaced it, or has gone.

        Where what the peer sends is lost, its close is lost, too: without
        this, the connection would take a descriptor and pushes for good.
        """
        while not self.closed:
            await self._clock.sleep(LOOK_AFTER_SECONDS)
            quiet = self.measure_quiet()
            is_asked = self._pinged > self._last_received
            if quiet > REPLACED_SECONDS and is_asked and not self._tasks:
                await self.close()
            elif quiet >= LOOK_AFTER_SECONDS and not self.closed:
                await self._ping(self._clock.monotonic())

    def _find_pause(self) -> float:
        """Return the seconds until the next ping, if nothing is answered."""
        if self.replaced:
            return PING_AFTER_SECONDS
        since = max(self._confirmed, self._pinged)
        return since + PING_AFTER_SECONDS - self._clock.monotonic()

    async def _ping(self, sent: float, share: float = 1.0) -> None:
        self._pinged, seconds = sent, share * self._patience.seconds
        try:
            async with asyncio.timeout(seconds):
                if self._faults.blocks(self.peer):
                    await asyncio.Event().wait()
                pong = await self._socket.ping()
                pong.add_done_callback(lambda done: self._end_ping(done, sent))
                await asyncio.shield(pong)
        except TimeoutError:
            late = self._clock.monotonic() - sent - seconds
            if late < STALL_SECONDS:
                asyncio.get_running_loop().call_later(
                    ARRIVAL_SECONDS, self._check_round_trip, sent
                )
        except websockets.ConnectionClosed:
            return

    def _end_ping(self, pong: asyncio.Future, sent: float) -> None:
        is_answered = not pong.cancelled() and pong.exception() is None
        if is_answered and not self._faults.blocks(self.peer):
            self._patience.note(self._clock.monotonic() - sent)
            self._note_received()
            self._note_confirmed(sent)

    def _note_confirmed(self, sent: float) -> None:
        self._confirmed = max(self._confirmed, sent)

    def _check_round_trip(self, sent: float) -> None:
        if self._confirmed < sent:
            self._handle_silence(self)

    async def _write(self) -> None:
        while True:
            await self._ready.wait()
            self._ready.clear()
            while parts := self._outbox.take():
                await self._send(parts)

    async def _send(self, parts: list[tuple]) -> None:
        if self._faults.blocks(self.peer):
            return
        for data in self._encode(parts):
            self._traffic.count_sent(len(data))
            await self._socket.send(data)

    def _encode(self, parts: list[tuple]) -> list[bytes]:
        """Encode parts; leave out those that can't be, and fail them."""
        try:
            return dump_frames(parts)
        except ValueError as error:
            if len(parts) == 1:
                self._drop(parts[0], error)
                return []
        return [data for part in parts for data in self._encode([part])]

    def _drop(self, part: tuple, error: ValueError) -> None:
        kind, number, tag, _ = part
        self._traffic.dropped_parts += 1
        self._refused_parts += 1
        # the first, and each doubling: a target may announce itself for hours
        if not self._refused_parts & (self._refused_parts - 1):
            link_log.warning(
                "message not sent count={} error={} kind={} tag={} peer={}",
                self._refused_parts,
                error,
                Part(kind).name,
                tag,
                self.peer,
            )
        match kind:
            case Part.REQUEST:
                future, _ = self._pending.get(number, (None, 0.0))
                if future is not None and not future.done():
                    future.set_exception(LinkError(str(error), sent=False))
            case Part.ANSWER:
                self._reply_error(Part.REQUEST, number, error)

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
        self._pending[number] = future, sent
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
        asyncio.get_running_loop().call_later(
            ARRIVAL_SECONDS, self._check_silence, sent
        )
        # After a long partition TCP may wait minutes before it retransmits;
        # closing the link makes the next request open a new connection.
        if self._silent_since is None:
            self._silent_since = max(sent, self._last_received)
        if self._clock.monotonic() - self._silent_since > MAX_SILENCE_SECONDS:
            self.closed = True
            self._outbox.clear()
            self._fail_pending()

    def _check_silence(self, sent: float) -> None:
        now = self._clock.monotonic()
        # the peer may be slow in a handler: only a ping tells
        if (
            self._last_received <= sent
            and self._pinged + PING_AFTER_SECONDS <= now
        ):
            task = asyncio.ensure_future(
                self.guard(self._ping(now, DOUBT_SHARE))
            )
            self._watching.add(task)
            task.add_done_callback(self._watching.discard)

    def _resolve(self, number: int, value: typing.Any) -> None:
        future = self._take_pending(number)
        if future is not None and not future.done():
            future.set_result(value)

    def _reject(self, number: int, text: str) -> None:
        future = self._take_pending(number)
        if future is not None and not future.done():
            future.set_exception(LinkError(text, sent=True))

    def _take_pending(self, number: int) -> asyncio.Future | None:
        future, sent = self._pending.pop(number, (None, self._confirmed))
        self._note_confirmed(sent)
        return future

    def _fail_pending(self) -> None:
        for future, _ in self._pending.values():
            if not future.done():
                text = f"link to {self.peer} was lost"
                future.set_exception(LinkError(text, sent=True))
        self._pending.clear()

    async def close(self) -> None:
        """Close the connection."""
        self.closed = True
        await self._socket.close()
