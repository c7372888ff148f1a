"""Setting fault switches over HTTP."""

from aiohttp import web
import attrs

from chivepier.standins.faults import Faults


async def set_faults(faults: Faults, request: web.Request) -> web.Response:
    """Answer ``POST /-/faults``.

    :param faults: the switches of a stand-in
    :param request: switches and values, as JSON
    :returns: all switches, or 400 for an unknown one
    """
    try:
        faults.update(await request.json())
    except ValueError as error:
        return web.json_response({"error": str(error)}, status=400)
    return web.json_response(attrs.asdict(faults))
