"""The interface of targets."""

import hmac

from aiohttp import web
import attrs
import cattrs

from chivepier.messages import Announcement
from chivepier.node.bodies import read_json
from chivepier.node.entry import Entry
from chivepier.node.prefixhash import shorten_hash
from chivepier.types import ErrorKind
from chivepier.types import RequestError

CONVERTER = cattrs.Converter(forbid_extra_keys=True, detailed_validation=False)


class Targets:
    """Takes announcements and passes them to the shard's owner."""

    def __init__(self, entry: Entry):
        self._entry = entry

    def add_routes(self, app: web.Application) -> None:
        """Register the path.

        :param app: the node's application
        """
        app.router.add_post("/v1/targets", self.announce)

    async def announce(self, request: web.Request) -> web.Response:
        """Answer ``POST /v1/targets``."""
        key = self._entry.cluster.settings.deployment_key
        check_bearer(request, key)
        announcement = parse_announcement(await read_json(request))
        shard = self._entry.directory.find_shard(announcement)
        answer = await self._entry.permits.announce(announcement, shard)
        return web.json_response(
            {"accepted": answer.accepted, "interval": answer.interval}
        )


def parse_announcement(plain: object) -> Announcement:
    """Check a target's announcement.

    :param plain: the parsed JSON
    :returns: the message, with hashes as long as those of requests
    :raises RequestError: ``bad_request``
    """
    try:
        announcement = CONVERTER.structure(plain, Announcement)
    except Exception as error:
        text = f"announcement: {error!r}"
        raise RequestError.of(ErrorKind.BAD_REQUEST, text) from None
    cached = tuple(shorten_hash(value) for value in announcement.cached)
    return attrs.evolve(announcement, cached=cached)


def check_bearer(request: web.Request, key: str) -> None:
    """Compare a bearer key in constant time.

    :param request: the request
    :param key: the key that is expected
    :raises RequestError: ``unauthorized``
    """
    given = request.headers.get("Authorization", "")
    expected = f"Bearer {key}"
    if not hmac.compare_digest(given.encode(), expected.encode()):
        raise RequestError.of(ErrorKind.UNAUTHORIZED, "unknown key")
