"""Which entry addresses a caller may use."""

import time

from aiohttp import web

from chivepier.node.entry import Entry
from chivepier.types import hash_text


class Addresses:
    """Answers callers that ask where to connect."""

    def __init__(self, entry: Entry):
        self._entry = entry

    def add_routes(self, app: web.Application) -> None:
        """Register the path.

        :param app: the node's application
        """
        app.router.add_get("/v1/addresses", self.answer)

    async def answer(self, request: web.Request) -> web.Response:
        """List the live entry addresses, the caller's zone first.

        Callers are spread by a hash of their own address and the minute, so
        that they don't all try the same instance first.
        """
        zone = request.query.get("zone", "")
        salt = f"{request.remote}/{request.query.get('caller', '')}"
        salt += f"/{int(time.time()) // 60}/"
        members = [m for m in self._entry.cluster.members() if not m.draining]
        members.sort(
            key=lambda m: (
                m.zone != zone,
                hash_text(salt + m.node),
            )
        )
        settings = self._entry.cluster.settings
        return web.json_response(
            {
                "addresses": [
                    {"address": m.address, "zone": m.zone} for m in members
                ],
                "ttl": settings.address_ttl,
            }
        )
