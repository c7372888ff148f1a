"""Cutting peer links on request, for tests."""

from aiohttp import web

from chivepier.node.bodies import read_json
from chivepier.types import ErrorKind
from chivepier.types import RequestError
from chivepier.wire import Faults


class FaultHook:
    """Cuts this node's peer links silently, in both directions.

    Without the flag ``--fault-hook`` the path refuses, so that nobody who
    reaches a node's HTTP port can part it from the others.
    """

    def __init__(self, faults: Faults, enabled: bool):
        self._faults = faults
        self._enabled = enabled

    def add_routes(self, app: web.Application) -> None:
        """Register the path.

        :param app: the node's application
        """
        app.router.add_post("/-/faults", self.cut)

    async def cut(self, request: web.Request) -> web.Response:
        """Answer ``POST /-/faults``: ``cut`` replaces the set of cut peers.

        :param request: JSON ``{"cut": ["ip:port", ...]}``; ``*`` is all
        :returns: what is cut now
        :raises RequestError: ``forbidden`` without the flag, ``bad_request``
        """
        if not self._enabled:
            text = "this instance runs without --fault-hook"
            raise RequestError.of(ErrorKind.FORBIDDEN, text)
        body = await read_json(request)
        cut = body.get("cut") if isinstance(body, dict) else None
        if not isinstance(cut, list) or not all(
            isinstance(peer, str) for peer in cut
        ):
            text = "cut is not a list of peer addresses"
            raise RequestError.of(ErrorKind.BAD_REQUEST, text)
        self._faults.cut = set(cut)
        return web.json_response({"cut": sorted(cut)})
