"""Client side of the peer links."""

import asyncio
import typing

import logbook
from websockets.asyncio.client import connect
from websockets.exceptions import WebSocketException

from chivepier.types import Clock
from chivepier.wire.channel import Channel
from chivepier.wire.channel import CLOSE_SECONDS
from chivepier.wire.channel import Handler
from chivepier.wire.faults import Faults
from chivepier.wire.linkerror import LinkError
from chivepier.wire.patience import Patience
from chivepier.wire.server import KEY_HEADER
from chivepier.wire.server import MAX_FRAME_BYTES
from chivepier.wire.server import PEER_HEADER
from chivepier.wire.traffic import Traffic

log = logbook.Logger("link")

CONNECT_SECONDS = 2.0


class Links:
    """Keeps one outgoing channel per peer, opened on use and reopened.

    :param own_address: address under which peers know this process
    :param key: the cluster key, shared by all processes of a cluster
    :param handler: handles messages that peers send over these channels
    :param faults: peers whose frames are dropped, for tests
    :param clock: measures the age of messages and the silence of peers
    :param traffic: counters of frames and bytes; new ones if omitted
    """

    def __init__(
        self,
        own_address: str,
        key: str,
        handler: Handler,
        faults: Faults,
        clock: Clock,
        traffic: Traffic | None = None,
    ):
        self.own_address = own_address
        self._key = key
        self._handler = handler
        self._faults = faults
        self._clock = clock
        self.traffic = traffic or Traffic()
        self._channels: dict[str, Channel] = {}
        self._patience: dict[str, Patience] = {}
        self._connecting: dict[str, asyncio.Task] = {}
        self._tasks: set[asyncio.Task] = set()

    async def __aenter__(self) -> "Links":
        return self

    async def __aexit__(self, *exc) -> None:
        closing = [c.close() for c in self._channels.values()]
        await asyncio.gather(*closing, return_exceptions=True)
        for task in [*self._tasks, *self._connecting.values()]:
            task.cancel()

    async def request(
        self, peer: str, value: typing.Any, timeout: float
    ) -> typing.Any:
        """Send a request to a peer and wait for its answer.

        :param peer: address of the peer as ``ip:port``
        :param value: a registered message
        :param timeout: maximum seconds to connect, and again to wait for the
            answer
        :returns: the message in the answer
        :raises LinkError: when the peer can't be reached or does not answer
        """
        channel = await self._open(peer, timeout)
        return await channel.request(value, timeout)

    async def connect(self, peer: str, timeout: float) -> Channel:
        """Return the open channel to a peer, for several requests on it.

        :param peer: address of the peer as ``ip:port``
        :param timeout: maximum seconds to connect
        :raises LinkError: when the peer can't be reached; nothing was sent
        """
        return await self._open(peer, timeout)

    async def send(self, peer: str, value: typing.Any) -> None:
        """Send a one-way message to a peer; no error is raised if it is lost.

        :param peer: address of the peer as ``ip:port``
        :param value: a registered message
        """
        try:
            channel = await self._open(peer, CONNECT_SECONDS)
        except LinkError:
            return
        channel.send(value)

    def post(self, peer: str, value: typing.Any) -> None:
        """Send a one-way message without waiting for a connection.

        A sender with messages for several peers is not delayed by a peer that
        can't be reached.

        :param peer: address of the peer as ``ip:port``
        :param value: a registered message
        """
        channel = self._channels.get(peer)
        if channel is not None and not channel.closed:
            channel.send(value)
            return
        task = asyncio.create_task(self.send(peer, value))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _open(self, peer: str, timeout: float) -> Channel:
        channel = self._channels.get(peer)
        if channel is not None and not channel.closed:
            return channel
        task = self._start_connecting(peer)
        try:
            async with asyncio.timeout(timeout):
                return await asyncio.shield(task)
        except TimeoutError:
            text = f"no connection to {peer} in {timeout}s"
            raise LinkError(text, sent=False) from None

    def _start_connecting(self, peer: str) -> asyncio.Task:
        # Concurrent callers share one connection attempt; with one attempt
        # after the other, each would wait for the earlier ones to time out.
        task = self._connecting.get(peer)
        if task is None:
            task = asyncio.create_task(self._connect(peer))
            self._connecting[peer] = task
            task.add_done_callback(
                lambda done: self._finish_connecting(peer, done)
            )
        return task

    def _replace(self, channel: Channel) -> None:
        """Open another connection beside one that has gone silent.

        The old one stays until the new one is up, and then for what is in
        progress on it: a peer that merely stood still answers there.
        """
        if self._channels.get(channel.peer) is channel:
            self._start_connecting(channel.peer)

    def _finish_connecting(self, peer: str, task: asyncio.Task) -> None:
        del self._connecting[peer]
        if not task.cancelled():
            # Mark the exception as retrieved: all callers may have timed out.
            task.exception()

    async def _connect(self, peer: str) -> Channel:
        if self._faults.blocks(peer):
            # A partition drops the handshake too: time out, without a reset.
            await asyncio.sleep(CONNECT_SECONDS)
            raise LinkError(f"no connection to {peer}", sent=False)
        headers = {KEY_HEADER: self._key, PEER_HEADER: self.own_address}
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                socket = await connect(
                    f"ws://{peer}",
                    additional_headers=headers,
                    compression=None,
                    max_size=MAX_FRAME_BYTES,
                    ping_interval=None,
                    open_timeout=None,
                    close_timeout=CLOSE_SECONDS,
                    proxy=None,
                )
        except (OSError, TimeoutError, WebSocketException) as error:
            text = f"no connection to {peer}: {error!r}"
            refused = isinstance(error, ConnectionRefusedError)
            raise LinkError(text, sent=False, refused=refused) from None
        channel = Channel(
            socket,
            peer,
            self._handler,
            self._faults,
            self.traffic,
            self._clock,
            self._replace,
            self._patience.setdefault(peer, Patience()),
        )
        before = self._channels.get(peer)
        if before is not None and not before.closed:
            before.replace()
            log.info(
                "silent link replaced peer={} quiet_ms={} unanswered_ms={}"
                " pending={}",
                peer,
                round(1000 * before.measure_quiet()),
                round(1000 * before.measure_unconfirmed()),
                before.count_pending(),
            )
        self._channels[peer] = channel
        for work in (channel.run(), channel.guard(channel.watch())):
            task = asyncio.create_task(work)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        return channel
