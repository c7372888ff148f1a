"""Which entry addresses a caller may use."""

from aiohttp import web

from chivepier.messages import Member
from chivepier.node.entry import Entry
from chivepier.types import ErrorKind
from chivepier.types import hash_text
from chivepier.types import RequestError

SPREAD_SECONDS = 60


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

        :param request: query ``zone``, and ``caller`` where many callers
            share one address
        :returns: JSON with ``addresses`` and ``ttl`` in seconds
        :raises RequestError: ``not_ready``: a caller asks another instance
        """
        cluster = self._entry.cluster
        if not cluster.ready():
            # cut off, it would hand out itself, instances that are long
            # gone, and those that drain and wait for this to end
            text = "this instance can't confirm who the members are"
            raise RequestError.of(ErrorKind.NOT_READY, text)
        zone = request.query.get("zone", "")
        minute = int(cluster.clock.now().timestamp()) // SPREAD_SECONDS
        caller = request.query.get("caller", "")
        members = [
            m
            for m in cluster.reachable()
            if not m.draining and not (cluster.draining and m == self._me())
        ]
        members = spread_members(
            members, zone, f"{request.remote}/{caller}/{minute}/"
        )
        return web.json_response(
            {
                "addresses": [
                    {"address": m.address, "zone": m.zone} for m in members
                ],
                "ttl": cluster.settings.address_ttl,
            }
        )

    def _me(self) -> Member | None:
        cluster = self._entry.cluster
        return cluster.machine.members.get(cluster.identity.node)


def spread_members(members: list[Member], zone: str, salt: str) -> list:
    """Order members for one caller.

    :param members: whom it may use
    :param zone: its availability zone, or empty
    :param salt: differs between callers, so that they don't all try the
        same instance first
    :returns: those of its zone first, each part in an order of its own
    """
    return sorted(
        members, key=lambda m: (m.zone != zone, hash_text(salt + m.node))
    )
