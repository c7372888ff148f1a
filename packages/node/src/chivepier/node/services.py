"""The interface of plain services."""

from aiohttp import web
import multidict

from chivepier.messages import Outcome
from chivepier.node.bodies import read_body
from chivepier.node.callers import Callers
from chivepier.node.claimed import render_outcome
from chivepier.node.claimed import run_claimed
from chivepier.node.directory import Service
from chivepier.node.entry import Entry
from chivepier.node.ledger import digest_request
from chivepier.node.ledger import read_key
from chivepier.node.routes import is_idempotent
from chivepier.node.servicecall import ServiceCall
from chivepier.node.servicecaller import ServiceCaller
from chivepier.types import ErrorKind
from chivepier.types import RequestError
from chivepier.types import TargetKind

FORWARDED = (
    "Accept",
    "Accept-Language",
    "Content-Type",
    "Content-Encoding",
    "Idempotency-Key",
    "If-Match",
    "If-None-Match",
    "Range",
    "Traceparent",
)
ENCODING = "Accept-Encoding"


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
        if service.template.kind is not TargetKind.SERVICE:
            text = f"template {name!r} is not a plain service"
            raise RequestError.of(ErrorKind.BAD_REQUEST, text)
        call = await read_call(request, service)
        caller = ServiceCaller(self._entry, service, call)
        if call.key is not None:
            digest = digest_request(
                name, call.method, call.path, call.query, call.body
            )
            return await run_claimed(
                self._entry, team, call.key, digest, caller.run
            )
        # a call that may run once goes to its end without its caller too:
        # cut off half way, nobody would know whether it ran
        background = self._entry.background
        outcome: Outcome = await background.finish(
            caller.run(), alone=not call.idempotent
        )
        return render_outcome(outcome)


async def read_call(request: web.Request, service: Service) -> ServiceCall:
    """Check a caller's request to a plain service.

    :param request: the request
    :param service: the template as the team may use it
    :returns: the typed call
    :raises RequestError: ``bad_request`` or ``too_large``
    """
    key = read_key(request.headers.get("Idempotency-Key"))
    prefix = f"/v1/services/{request.match_info['service']}"
    path = request.rel_url.raw_path.removeprefix(prefix)
    decoded = "/" + request.match_info["path"]
    if ".." in decoded.split("/"):
        raise RequestError.of(ErrorKind.BAD_REQUEST, "the path holds ..")
    rules = service.template.routes
    idempotent = is_idempotent(rules, request.method, decoded)
    headers = multidict.CIMultiDict(
        (name, request.headers[name])
        for name in FORWARDED
        if name in request.headers
    )
    headers[ENCODING] = request.headers.get(ENCODING, "identity")
    return ServiceCall(
        method=request.method,
        path=path,
        query=request.rel_url.raw_query_string,
        headers=headers,
        body=await read_body(request),
        idempotent=idempotent and key is None,
        key=key,
    )
