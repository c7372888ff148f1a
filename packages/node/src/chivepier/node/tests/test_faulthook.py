"""The fault hook must not part a production instance from the others."""

import asyncio

from aiohttp import test_utils
from aiohttp import web
import pytest

from chivepier.node.answers import make_error_middleware
from chivepier.node.faulthook import FaultHook
from chivepier.node.metrics import Metrics
from chivepier.wire import Faults

PEER = "127.0.0.1:1"


async def post(enabled, body):
    """Post to the hook; return the status and what is cut."""
    faults = Faults()
    app = web.Application(middlewares=[make_error_middleware(Metrics())])
    FaultHook(faults, enabled).add_routes(app)
    server = test_utils.TestServer(app)
    async with test_utils.TestClient(server) as client:
        answer = await client.post("/-/faults", json=body)
        return answer.status, faults.cut


@pytest.mark.parametrize(
    ("enabled", "body", "status", "cut"),
    [
        (False, {"cut": [PEER]}, 403, set()),
        (True, {"cut": [PEER]}, 200, {PEER}),
        (True, {"cut": []}, 200, set()),
        (True, {"cut": PEER}, 400, set()),
        (True, {"cut": [1]}, 400, set()),
        (True, [], 400, set()),
    ],
)
def test_cut_needs_the_flag_and_a_list(enabled, body, status, cut):
    """Whoever reaches the HTTP port could cut an instance off."""
    assert asyncio.run(post(enabled, body)) == (status, cut)
