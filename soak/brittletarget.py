"""Targets that end when they have to turn too many requests away."""

import asyncio
import time

from aiohttp import web

from soak.invariantchecker import make_expected_body
from soak.signature import sign
from soak.target import SoakTarget

# Requests that run at once and that may wait, at first and later on.
RUNNING_PLACES = 2
WAITING_PLACES, LATER_WAITING_PLACES = 4, 1
SERVICE_SECONDS = 0.15
# Seconds after the first answer that says so from which fewer may wait, and
# from which it ends.
PROPAGATION_SECONDS = 3.0
# Seconds until a target that has ended starts again.
RESTART_SECONDS = 2.0


class BrittleTarget(SoakTarget):
    """Says how many refusals within a second it bears, and ends at more.

    :ivar bearable: that number; ``None`` while it is not brittle
    :ivar falls: times at which it ended, in monotonic seconds
    """

    bearable: int | None = None
    _began: float | None = None
    _places: asyncio.Semaphore | None = None
    _restart: asyncio.Task | None = None

    def __init__(self, *args):
        super().__init__(*args)
        self.falls: list[float] = []
        self.refusals: list[float] = []
        self._present = 0

    async def __aenter__(self) -> "BrittleTarget":
        self._places = asyncio.Semaphore(RUNNING_PLACES)
        self._present = 0
        return await super().__aenter__()

    async def __aexit__(self, *exc) -> None:
        if self._restart is not None:
            self._restart.cancel()
        await super().__aexit__(*exc)

    @property
    def _is_in_force(self) -> bool:
        """Whether all entries must know by now that it is brittle."""
        if self._began is None:
            return False
        return time.monotonic() - self._began >= PROPAGATION_SECONDS

    @property
    def _waiting_places(self) -> int:
        return LATER_WAITING_PLACES if self._is_in_force else WAITING_PLACES

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        now = time.monotonic()
        identity = request.headers["X-Chivepier-Request-Id"]
        headers = {"X-Chivepier-Request-Id": identity}
        if request.headers["X-Chivepier-Expect-Instance"] != self.instance:
            return web.Response(status=421, headers=headers)
        if self.bearable is not None:
            self._began = self._began or now
            headers["Server-Brittle"] = str(self.bearable)
        if self._present >= RUNNING_PLACES + self._waiting_places:
            self._note_refusal(now)
            headers |= self._make_report()
            headers["X-Chivepier-Not-Run"] = "1"
            return web.Response(status=503, headers=headers)
        self._present += 1
        try:
            async with self._places:
                await request.read()
                self.runs += 1
                await asyncio.sleep(SERVICE_SECONDS)
                self._checker.record_run(identity)
        finally:
            self._present -= 1
        headers |= self._make_report() | sign(self.instance)
        body = make_expected_body(identity)
        return web.Response(body=body, headers=headers)

    def _make_report(self) -> dict[str, str]:
        running = min(self._present, RUNNING_PLACES)
        waiting = self._present - running
        report = f"{running},{waiting},{RUNNING_PLACES},100"
        return {"X-Chivepier-Server-Load": report}

    def _note_refusal(self, now: float) -> None:
        self.refusals.append(now)
        if not self._is_in_force:
            return
        recent = [at for at in self.refusals if at > now - 1.0]
        if len(recent) > self.bearable and self._restart is None:
            self.falls.append(now)
            self.crash()
            self._restart = asyncio.create_task(self._start_later())

    async def _start_later(self) -> None:
        await asyncio.sleep(RESTART_SECONDS)
        self._restart = None
        self.refusals.clear()
        await self.__aenter__()
