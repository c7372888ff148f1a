"""A target that refuses many requests and spoils some of its answers."""

import asyncio

from aiohttp import web

from soak.invariantchecker import make_expected_body
from soak.target import SERVICE_SECONDS
from soak.target import SoakTarget

REFUSED_SHARE = 0.5


class DoubtfulTarget(SoakTarget):
    """Refuses at random, without regard to what it has to do.

    :ivar refused_share: share of the requests that it refuses
    """

    refused_share = REFUSED_SHARE

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
        self.runs += 1
        if not request.path.startswith("/again/"):
            self._checker.record_run(identity)
        await asyncio.sleep(SERVICE_SECONDS)
        body = make_expected_body(identity)
        answer = web.Response(body=body, headers=echo)
        fault = self.answer_faults.draw()
        return self.answer_faults.apply(request, answer, fault, ran=True)
