"""Calls to plain services."""

import asyncio

import aiohttp
from aiohttp import web

from chivepier.messages import PermitOutcome
from chivepier.messages import PermitRequest
from chivepier.messages import ReleaseReport
from chivepier.node.callers import Callers
from chivepier.node.directory import Service
from chivepier.node.entry import Entry
from chivepier.types import ErrorKind
from chivepier.types import Ran
from chivepier.types import RequestError

PATIENCE_SECONDS = 10.0
CALL_SECONDS = 60.0
FORWARDED = ("Content-Type", "Accept", "Idempotency-Key")


class Services:
    """Routes calls to plain services under the same permits."""

    def __init__(self, entry: Entry, callers: Callers):
        self._entry = entry
        self._callers = callers

    def add_routes(self, app: web.Application) -> None:
        """Register the paths.

        :param app: the node's application
        """
        path = "/v1/services/{service}/{path:.*}"
        app.router.add_route("*", path, self.call)

    async def call(self, request: web.Request) -> web.Response:
        """Answer one call."""
        team = self._callers.admit(request)
        name = request.match_info["service"]
        service = self._entry.directory.find_service(team, name)
        body = await request.read()
        ask = self._permit_request(service)
        permit = await self._entry.permits.acquire(ask)
        outcome = PermitOutcome.TARGET_FAILED
        try:
            answer = await self._forward(request, body, permit.address)
            outcome = PermitOutcome.FINISHED
            return answer
        finally:
            report = ReleaseReport(
                self._entry.cluster.peer_address,
                ask.pool,
                ask.shard,
                permit.permit,
                1,
                int(outcome),
            )
            await asyncio.shield(self._entry.permits.release(report))

    def _permit_request(self, service: Service) -> PermitRequest:
        return PermitRequest(
            self._entry.permits.name_request(),
            service.template.pool,
            0,
            service.team,
            service.template_name,
            "",
            "",
            int(service.urgency),
            0,
            1,
            (),
            self._entry.cluster.settings.zone,
            self._entry.cluster.peer_address,
            PATIENCE_SECONDS,
            (),
        )

    async def _forward(
        self, request: web.Request, body: bytes, address: str
    ) -> web.Response:
        path = request.match_info["path"]
        headers = {
            name: request.headers[name]
            for name in FORWARDED
            if name in request.headers
        }
        try:
            async with self._entry.http.request(
                request.method,
                f"http://{address}/{path}",
                params=request.query,
                data=body,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=CALL_SECONDS),
            ) as answer:
                return web.Response(
                    status=answer.status,
                    body=await answer.read(),
                    content_type=answer.content_type,
                )
        except aiohttp.ClientConnectorError:
            text = "the service refused the connection"
            kind = ErrorKind.TARGET_FAILED
            raise RequestError.of(kind, text, Ran.NO) from None
        except (aiohttp.ClientError, TimeoutError) as error:
            text = f"the service did not answer: {error!r}"
            kind = ErrorKind.TARGET_FAILED
            raise RequestError.of(kind, text, Ran.UNKNOWN) from None
