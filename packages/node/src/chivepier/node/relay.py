"""Relaying one generation from its engine, over as many links as it takes."""

import asyncio
import collections.abc
import contextlib
import datetime
import math

import aiohttp

from chivepier.node.engineclient import EngineClient
from chivepier.node.engineclient import translate_errors
from chivepier.node.linklosterror import LinkLostError
from chivepier.node.lossreason import LossReason
from chivepier.node.patience import Patience
from chivepier.node.ssebuffer import SseBuffer
from chivepier.node.streammeter import StreamMeter
from chivepier.node.watchdog import Watchdog
from chivepier.types import ErrorKind
from chivepier.types import Failure
from chivepier.types import Ran
from chivepier.types import RequestError

MAX_BROKEN = 5


class Relay:
    """Reads one generation to its end, through one reader at a time.

    A reader that fails or falls silent is closed and another one opened at
    the index that is wanted next, so the caller sees each token once.  What
    it never does is start a second generation: two generations of one
    prompt differ, and a caller would get the beginning of one and the end of
    the other.

    :param client: the generation at its engine
    :param buffer: checks the events; its ``following`` is where to begin
    :param patience: how long to wait for what
    :param meter: takes the measurements
    """

    def __init__(
        self,
        client: EngineClient,
        buffer: SseBuffer,
        patience: Patience,
        meter: StreamMeter,
    ):
        self._client = client
        self._buffer = buffer
        self._patience = patience
        self._meter = meter
        self._loop = asyncio.get_running_loop()
        self._answer: aiohttp.ClientResponse | None = None
        self._stopped: Failure | None = None
        self._silent = False
        self._silence = patience.silence
        self._broken = 0
        self._progress = self._loop.time()
        self.over = False

    @property
    def finished(self) -> bool:
        """Whether the generation's end was relayed."""
        return self._buffer.finished

    def stop(self, retry_after: float) -> None:
        """End the stream early; what is relayed so far stays valid.

        :param retry_after: seconds until the caller should come back
        """
        text = "the stream was ended early to keep its engine from overflow"
        ran = Ran.YES if self._buffer.following else Ran.UNKNOWN
        hint = datetime.timedelta(seconds=retry_after)
        kind = ErrorKind.STOPPED_EARLY
        self._stopped = Failure(kind, text, ran, hint)
        self._close()

    async def dispatch(self, path: str, body: dict) -> None:
        """Start the generation.

        A silent engine is asked for the generation by its id while the
        first request is still open: a queue looks like a stalled link.

        :param path: ``chat/completions`` or ``completions``
        :param body: the request's JSON
        :raises RequestError: when the engine refused it, or was not reached
        """
        try:
            await self._start(path, body)
        except LinkLostError as lost:
            if not lost.sent:
                self.over = True
                kind = ErrorKind.TARGET_FAILED
                raise RequestError.of(kind, str(lost)) from None
            # it may run: reading goes on by its id
            self._broken += 1
            self._meter.count_loss(lost.reason)

    async def _start(self, path: str, body: dict) -> None:
        first = asyncio.create_task(self._client.start(path, body))
        deadline = self._loop.time() + self._patience.start
        try:
            while not first.done():
                left = deadline - self._loop.time()
                if left <= 0:
                    text = "the engine did not answer in time"
                    raise LinkLostError(LossReason.STALLED, text)
                wait = min(left, self._silence)
                await asyncio.wait({first}, timeout=wait)
                if self._stopped is not None:
                    raise RequestError(self._stopped)
                if not first.done() and await self._find_started():
                    return
            self._answer = first.result()
        finally:
            if not first.done():
                first.cancel()

    async def _find_started(self) -> bool:
        with contextlib.suppress(RequestError, LinkLostError, TimeoutError):
            async with asyncio.timeout(self._silence):
                self._answer = await self._client.resume(0)
            self._meter.count_loss(LossReason.STALLED)
            return True
        return False

    async def read(self) -> collections.abc.AsyncIterator[bytes]:
        """Yield whole events until the generation's end.

        :raises RequestError: when it can't be read to its end
        """
        try:
            while not self._buffer.finished:
                try:
                    if self._answer is None:
                        await self._reopen()
                    with Watchdog(self._silence, self._expire) as watchdog:
                        async for data in self._answer.content.iter_any():
                            watchdog.last = self._loop.time()
                            events = self._buffer.feed(data)
                            if events:
                                self._note(watchdog.last)
                                # a slow caller is not a silent engine
                                watchdog.last = math.inf
                                yield events
                                watchdog.last = self._loop.time()
                                self._progress = watchdog.last
                            if self._buffer.finished:
                                return
                    text = "the engine ended the stream early"
                    raise LinkLostError(LossReason.CLOSED, text)
                except (
                    LinkLostError,
                    aiohttp.ClientError,
                    TimeoutError,
                    ConnectionError,
                ) as error:
                    await self._weigh(error)
        finally:
            self._close()

    def _note(self, now: float) -> None:
        self._meter.note(now)
        self._broken = 0
        self._silence = self._patience.silence

    def _expire(self) -> None:
        self._silent = True
        self._close()

    def _close(self) -> None:
        answer, self._answer = self._answer, None
        if answer is not None:
            answer.close()

    async def _reopen(self) -> None:
        if self._stopped is not None:
            raise RequestError(self._stopped)
        try:
            async with asyncio.timeout(self._patience.lost):
                index = self._buffer.following
                self._answer = await self._client.resume(index)
        except TimeoutError:
            # a queue answers by its headers; this engine says nothing
            text = "the engine does not answer"
            reason = LossReason.UNREACHABLE
            raise LinkLostError(reason, text) from None
        except RequestError as error:
            self.over = error.failure.kind is ErrorKind.GENERATION_LOST
            raise self._give_up(error.failure.message) from None

    async def _weigh(self, error: Exception) -> None:
        """Decide after a failed reader whether to open another.

        :raises RequestError: when the generation is given up
        """
        self._close()
        self._buffer.restart()
        if self._stopped is not None:
            raise RequestError(self._stopped)
        lost = self._read_error(error)
        self._silent = False
        self._meter.count_loss(lost.reason)
        quiet = self._loop.time() - self._progress
        if lost.dead:
            self.over = True
            raise self._give_up("the engine is gone")
        if quiet > self._patience.quiet:
            raise self._give_up("the engine has had no token for too long")
        if lost.reason is LossReason.STALLED:
            self._silence = min(
                2 * self._silence, self._patience.longest_silence
            )
            return
        self._broken += 1
        if lost.reason is LossReason.UNREACHABLE:
            if quiet > self._patience.lost:
                raise self._give_up("the engine can't be reached")
        elif self._broken > MAX_BROKEN:
            raise self._give_up(f"{lost} again and again")
        await asyncio.sleep(self._patience.pause * (self._broken - 1))

    def _read_error(self, error: Exception) -> LinkLostError:
        if self._silent:
            text = "no bytes came in time"
            return LinkLostError(LossReason.STALLED, text)
        if isinstance(error, LinkLostError):
            return error
        try:
            with translate_errors():
                raise error
        except LinkLostError as lost:
            return lost

    def _give_up(self, text: str) -> RequestError:
        following = self._buffer.following
        kind = ErrorKind.GENERATION_LOST
        if following:
            text = f"{text}; the answer is whole up to event {following - 1}"
            return RequestError.of(kind, text, Ran.YES)
        return RequestError.of(kind, text, Ran.UNKNOWN)
