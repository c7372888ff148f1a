"""HTTP API for operators, served by each voter."""

import asyncio

from aiohttp import web
import attrs

from chivepier.gateway.control.trouble import describe_trouble
from chivepier.gateway.control.voter import Voter
from chivepier.gateway.targets import Target
from chivepier.gateway.targets import TargetState
from chivepier.types import ERROR_TABLE
from chivepier.types import ErrorKind
from chivepier.types import Failure
from chivepier.types import render_failure
from chivepier.types import render_headers

ORDER_PATH = "/v1/operator/evacuations/{zone}"
# Length to which a name is truncated in error messages.
MAX_NAME_LENGTH = 200


@attrs.frozen
class OperatorApi:
    """The HTTP endpoints used by the ``chivepier`` command.

    :param voter: the voter that answers requests
    """

    voter: Voter

    def register_routes(self, routes: web.UrlDispatcher) -> None:
        """Register the endpoints.

        :param routes: route table of the operators' HTTP server
        """
        routes.add_get("/healthz", self._get_health)
        routes.add_get("/v1/operator/status", self._get_status)
        routes.add_post(ORDER_PATH, self._evacuate)
        routes.add_delete(ORDER_PATH, self._readmit)

    async def _get_health(self, request: web.Request) -> web.Response:
        return web.json_response({})

    async def _get_status(self, request: web.Request) -> web.Response:
        voter = self.voter
        config = voter.store.find_committed()
        beats = voter.entries.list_beats()
        status = {
            "voters": [
                {"node": v.node, "address": v.address}
                for v in voter.replica.voters
            ],
            "leader": voter.replica.leader,
            # Without a part it answers here all the same.
            "takes_part": voter.replica.takes_part(),
            "trouble": describe_trouble(voter.replica.describe_condition()),
            "members": [
                {
                    "node": beat.node,
                    "name": beat.node,
                    "zone": beat.zone,
                    "address": beat.address,
                    "peer_address": "",
                    "draining": not beat.ready,
                    # it is listed for some time after its last beat
                    "silent_s": round(
                        voter.entries.measure_silence(beat.node), 1
                    ),
                }
                for beat in beats
            ],
            "targets": [
                _describe(target, voter.measure_silence(target))
                for target in voter.table
            ],
            "version": config.version if config else 0,
            # The oldest configuration version still applied by an entry.
            "in_force": min((beat.version for beat in beats), default=0),
            "evacuations": [
                {
                    "zone": order.zone,
                    "evacuated": order.evacuated,
                    "index": order.index,
                    "targets": sum(t.zone == order.zone for t in voter.table),
                }
                for order in sorted(voter.zones.orders, key=lambda o: o.zone)
            ],
            "limits": [
                {
                    "target": limit.instance,
                    "rate": limit.rate,
                    "source": limit.source,
                    "seconds": round(age, 1),
                }
                for limit, age in voter.limits.find_active(voter.table)
            ],
        }
        return web.json_response(status)

    async def _evacuate(self, request: web.Request) -> web.Response:
        return await self._handle_order(request, True)

    async def _readmit(self, request: web.Request) -> web.Response:
        return await self._handle_order(request, False)

    async def _handle_order(
        self, request: web.Request, evacuated: bool
    ) -> web.Response:
        zone = request.match_info["zone"]
        failure = await submit_order(self.voter, request, zone, evacuated)
        if failure is None:
            return web.json_response({"zone": zone, "evacuated": evacuated})
        return web.json_response(
            render_failure(failure),
            status=ERROR_TABLE[failure.kind].status,
            headers=render_headers(failure),
        )


async def submit_order(
    voter: Voter, request: web.Request, zone: str, evacuated: bool
) -> Failure | None:
    """Commit an operator's order to evacuate or readmit a zone.

    :param voter: the voter that received the order
    :param request: the HTTP request; its sender may disconnect meanwhile
    :param zone: name of the availability zone
    :param evacuated: whether no new requests may be sent to the zone
    :returns: the reason why the order is not committed; ``None`` if it is
    """
    if not voter.knows_zone(zone):
        text = f"no availability zone {zone[:MAX_NAME_LENGTH]!r}"
        return Failure(ErrorKind.BAD_REQUEST, text)
    order = voter.orders.prepare(zone, evacuated)
    work = voter.orders.commit(order, lambda: _is_connected(request))
    if await asyncio.shield(work):
        return None
    text = "no leader took it in time; it may be in force"
    return Failure(ErrorKind.NO_QUORUM, text)


def _is_connected(request: web.Request) -> bool:
    transport = request.transport
    return transport is not None and not transport.is_closing()


def _describe(target: Target, silence: float) -> dict:
    return {
        "target": target.instance,
        "pool": target.service,
        "zone": target.zone,
        "models": "",
        "role": "",
        "leaving": target.state is not TargetState.READY,
        "silent_s": round(silence, 1),
        "load": "",
    }
