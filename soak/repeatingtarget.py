"""A target that refuses requests and sends some of its answers twice."""

import asyncio

from aiohttp import web

from soak.invariantchecker import make_expected_body
from soak.target import SERVICE_SECONDS
from soak.target import SoakTarget

REFUSED_SHARE = 0.5
REPEATED_SHARE = 0.3


class RepeatingTarget(SoakTarget):
    """Sends second answers where the next ones are expected.

    :ivar names_requests: whether second answers name their requests
    :ivar repeated: number of second answers that were sent
    """

    names_requests = True

    def __init__(self, *args):
        super().__init__(*args)
        self.repeated = 0
        self._due: dict[asyncio.BaseTransport, bytes] = {}

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        identity = request.headers["X-Chivepier-Request-Id"]
        echo = {"X-Chivepier-Request-Id": identity}
        if request.headers["X-Chivepier-Expect-Instance"] != self.instance:
            return web.Response(status=421, headers=echo)
        self._send_due(request)
        if self._rng.random() < REFUSED_SHARE:
            refusal = echo | {"X-Chivepier-Not-Run": "1"}
            answer = web.Response(status=503, headers=refusal, body=b"full")
        else:
            await request.read()
            self.runs += 1
            self._checker.record_run(identity)
            await asyncio.sleep(SERVICE_SECONDS)
            body = make_expected_body(identity)
            answer = web.Response(body=body, headers=echo)
        if self._rng.random() < REPEATED_SHARE:
            self._due[request.transport] = self._encode(answer)
        return answer

    def _send_due(self, request: web.BaseRequest) -> None:
        """Send a second answer to the request before this one."""
        due = self._due.pop(request.transport, None)
        if due is not None:
            self.repeated += 1
            request.transport.write(due)

    def _encode(self, answer: web.Response) -> bytes:
        lines = [f"HTTP/1.1 {answer.status} {answer.reason}"]
        for name, value in answer.headers.items():
            if self.names_requests or name != "X-Chivepier-Request-Id":
                lines.append(f"{name}: {value}")
        lines.append(f"Content-Length: {len(answer.body)}")
        head = "\r\n".join(dict.fromkeys(lines))
        return head.encode() + b"\r\n\r\n" + answer.body
