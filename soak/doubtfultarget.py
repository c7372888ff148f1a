"""A target that refuses many requests and spoils some of its answers."""

import asyncio

from aiohttp import web

from soak.invariantchecker import make_expected_body
from soak.signature import sign
from soak.target import SERVICE_SECONDS
from soak.target import SoakTarget

REFUSED_SHARE = 0.5
# Seconds without an answer, above every deadline in use.
SILENT_SECONDS = 60.0


class DoubtfulTarget(SoakTarget):
    """Refuses at random, without regard to what it has to do.

    :ivar refused_share: share of the requests that it refuses
    :ivar failed_share: share of the others that it fails, before or after
        they run
    :ivar fails_silently: whether these get no answer
    :ivar going: held while it goes down and up
    """

    refused_share = REFUSED_SHARE
    failed_share = 0.0
    fails_silently = False

    def __init__(self, *args):
        super().__init__(*args)
        self.going = asyncio.Lock()

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        identity = request.headers["X-Chivepier-Request-Id"]
        echo = {"X-Chivepier-Request-Id": identity}
        if request.headers["X-Chivepier-Expect-Instance"] != self.instance:
            return web.Response(status=421, headers=echo)
        self.answer_faults.send_due(request)
        if self._rng.random() < self.refused_share:
            refusal = echo | {"X-Chivepier-Not-Run": "1"}
            answer = web.Response(status=503, headers=refusal, body=b"full")
            fault = self.answer_faults.draw()
            return self.answer_faults.apply(request, answer, fault, ran=False)
        await request.read()
        failed = self._rng.random() < self.failed_share
        if failed and self._rng.random() < 0.5:
            return await self._fail(echo)
        self.runs += 1
        if not request.path.startswith("/again/"):
            self._checker.record_run(identity)
        await asyncio.sleep(SERVICE_SECONDS)
        if failed:
            return await self._fail(echo)
        body = make_expected_body(identity)
        answer = web.Response(body=body, headers=echo | sign(self.instance))
        fault = self.answer_faults.draw()
        return self.answer_faults.apply(request, answer, fault, ran=True)

    async def _fail(self, echo: dict[str, str]) -> web.Response:
        if self.fails_silently:
            await asyncio.sleep(SILENT_SECONDS)
        return web.Response(status=500, headers=echo)
