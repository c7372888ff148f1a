"""A target that announces itself and misbehaves when told."""

import asyncio
import collections.abc
import contextlib
import json
import random
import secrets
import time

import aiohttp
from aiohttp import web

from soak.promises import make_body
from soak.promises import Promises
from soak.wishes import Wishes

BEAT_SECONDS = 0.4
WORK_SECONDS = 0.02
EVENTS = 20
LONG_LIVED = 10_000
# What a cold target bears within one second, from all entries together.
COLD_BOUND = 12
# Seconds after it said that it is cold from which it must be spared: entries
# are told at once, and what was being sent then has arrived.
TOLD_SECONDS = 1.0
# Seconds after a limit was first named from which it binds all entries, those
# included that were harmed when it was named.
TOUCH_SECONDS = 3.0
# Seconds in which requests are counted, and what may come in them, as a
# factor on the rate and requests above that.
NEED_SECONDS = 4.0
NEED_EXCESS = 1.5
NEED_SLACK = 5
# Arrivals that are remembered of a target that is not in need.
MOST_ARRIVALS = 1_000

Forbids = collections.abc.Callable[[str], bool]


class SoakTarget:
    """Serves calls and streams at an address of its own.

    ``mood`` is what it does to the next answers: nothing, ``reset`` breaks
    the connection after the run, ``silent`` never answers, ``shed`` refuses.

    :param address: where it listens
    :param announced: where others are told to reach it
    :param controls: addresses of the voters that take announcements
    :param promises: notes what it runs
    :param rng: draws the order in which voters are tried
    """

    def __init__(
        self,
        address: str,
        announced: str,
        controls: list[str],
        promises: Promises,
        rng: random.Random,
    ):
        self.address = address
        self._announced = announced
        self.mood = ""
        self._controls = controls
        self._promises = promises
        self._rng = rng
        self.instance = f"i-{secrets.token_hex(4)}"
        self.zone = "z"
        self.forbids: Forbids = lambda zone: False
        self._cold_until = 0.0
        self._cold_told: float | None = None
        self._arrived: list[float] = []
        self.wishes = Wishes(ignored=promises.broken)
        self.limit: float | None = None
        self.arrivals: list[float] = []
        self._told_at: float | None = None
        self._life = asyncio.Lock()
        self.restarted = False
        self.runs = 0
        self._born = 0
        # as if it had lived for long: its next life counts from the beginning
        self._number = LONG_LIVED
        self._server: web.Server | None = None
        self._listener: asyncio.Server | None = None
        self._task: asyncio.Task | None = None

    async def __aenter__(self) -> "SoakTarget":
        # always later than before, as the unit is a millisecond
        self._born = max(self._born + 1, int(1000 * time.time()))
        self._server = web.Server(self._serve, access_log=None)
        host, port = self.address.split(":")
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            self._server, host, int(port)
        )
        self._task = asyncio.create_task(self._announce())
        return self

    async def __aexit__(self, *exc) -> None:
        self._task.cancel()
        self._listener.close()
        await self._server.shutdown(0.1)

    def turn_cold(self, seconds: float) -> None:
        """Bear less for some seconds; its next words say so."""
        self._cold_until = time.monotonic() + seconds
        self._cold_told = None

    def _note_arrival(self) -> None:
        """Check what may reach it at all, and how much while it is cold."""
        now = time.monotonic()
        if self.forbids(self.zone):
            text = f"{self.address} was sent to in evacuated {self.zone}"
            self._promises.broken.append(text)
        told = self._cold_told
        if now >= self._cold_until or told is None or now < told:
            self._arrived.clear()
            return
        self._arrived = [at for at in self._arrived if now - at < 1.0]
        self._arrived.append(now)
        if len(self._arrived) > COLD_BOUND:
            text = f"{len(self._arrived)} a second at cold {self.address}"
            self._promises.broken.append(text)

    def name_limit(self, rate: float | None) -> None:
        """Name the requests a second that it takes; or none any more.

        :param rate: from all entries together
        """
        self.limit, self._told_at = rate, None
        self.arrivals.clear()

    def _note_need(self) -> None:
        """Check what reaches it while it names a limit."""
        now = time.monotonic()
        self.arrivals.append(now)
        if self.limit is None:
            del self.arrivals[:-MOST_ARRIVALS]
            return
        if self._told_at is None:
            self._told_at = now + TOUCH_SECONDS
        since = max(self._told_at, now - NEED_SECONDS)
        count = sum(at >= since for at in self.arrivals)
        if count > NEED_EXCESS * NEED_SECONDS * self.limit + NEED_SLACK:
            text = f"{count} in {NEED_SECONDS} s at {self.address}, in need"
            self._promises.broken.append(text)

    def crash(self) -> None:
        """Lose all connections and all that runs, at once."""
        self._task.cancel()
        self._listener.close()
        for connection in list(self._server.connections):
            if connection.transport is not None:
                connection.transport.abort()

    async def restart(self, seconds: float) -> None:
        """Lose what runs, and start again under the same name.

        :param seconds: until it starts again
        """
        async with self._life:
            await self.__aexit__()
            self.wishes.begin_anew()
            await asyncio.sleep(seconds)
            # nobody knows yet what the next life names
            self.name_limit(self.limit)
            self.restarted, self.runs, self._number = True, 0, 0
            await self.__aenter__()

    async def _announce(self) -> None:
        timeout = aiohttp.ClientTimeout(total=1.0)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                await self._beat(session)
                await asyncio.sleep(BEAT_SECONDS)

    async def _beat(self, session: aiohttp.ClientSession) -> None:
        self._number += 1
        body = {
            "service": "s",
            "address": self._announced,
            "zone": self.zone,
            "slots": 8,
            "state": "ready",
            "seq": self._number,
            "born": self._born,
            "cold-left-ms": round(
                1000 * max(0.0, self._cold_until - time.monotonic())
            ),
        }
        path = f"/chivepier/instances/{self.instance}"
        for control in self._rng.sample(self._controls, len(self._controls)):
            try:
                url = f"http://{control}{path}"
                async with session.put(url, json=body) as answer:
                    if answer.status == 200:
                        if body["cold-left-ms"] and self._cold_told is None:
                            now = time.monotonic()
                            self._cold_told = now + TOLD_SECONDS
                        return
            except (aiohttp.ClientError, TimeoutError, OSError):
                continue

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        identity = request.headers["X-Chivepier-Request-Id"]
        echo = {"X-Chivepier-Request-Id": identity}
        wanted = request.headers.get("X-Chivepier-Expect-Instance")
        if wanted != self.instance:
            return web.Response(status=421, headers=echo)
        self._note_arrival()
        self._note_need()
        if self.limit is not None:
            echo["Server-Limit"] = str(self.limit)
        mood = self.mood
        full = mood == "shed" or self.wishes.full
        echo |= self._heed_wishes(request, full)
        if full:
            echo["X-Chivepier-Not-Run"] = "1"
            return web.Response(status=503, headers=echo)
        await request.read()
        self.runs += 1
        if not request.path.startswith("/again/"):
            self._promises.note_run(identity)
        if mood == "silent":
            await asyncio.sleep(60)
        if request.path.startswith("/stream/"):
            response = web.StreamResponse(headers=echo)
            with contextlib.suppress(ConnectionError):
                await self._stream(request, response, mood)
            return response
        await asyncio.sleep(WORK_SECONDS)
        if mood == "reset":
            request.transport.abort()
        return web.Response(body=make_body(identity), headers=echo)

    def _heed_wishes(
        self, request: web.BaseRequest, refused: bool
    ) -> dict[str, str]:
        """Check what was asked of the sender; return what is asked now."""
        now = time.monotonic()
        entry = request.headers.get("X-Entry")
        if entry is not None:
            sent = float(request.headers["X-Sent"])
            self.wishes.note_arrival(entry, sent, now)
            self.wishes.note_answer(entry, refused, now)
        return self.wishes.make_headers(refused)

    async def _stream(self, request, response, mood) -> None:
        await response.prepare(request)
        for number in range(1, EVENTS + 1):
            if mood == "reset" and number == EVENTS // 2:
                await response.write(b"id: 10\nda")
                request.transport.abort()
                return
            text = "end" if number == EVENTS else "part"
            event = f"id: {number}\ndata: {text}\n\n"
            await response.write(event.encode())
            await asyncio.sleep(WORK_SECONDS / 2)
        await response.write_eof()


def describe(targets: list[SoakTarget]) -> str:
    """Return the targets' moods, for a failure's report."""
    return json.dumps({t.address: t.mood for t in targets})
