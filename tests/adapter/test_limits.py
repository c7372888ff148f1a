"""Tests of the rate limits in the operators' status."""

import asyncio
import json

import attrs
from click.testing import CliRunner
from test_control import ANNOUNCEMENT
from test_control import run

from chivepier.cli.main import main
from chivepier.gateway.messages import LimitRecord

LIMIT_RECORD = LimitRecord("i-1", 0, 1, 1.5, "front-1", 2.0)


def test_status_lists_current_limits(tmp_path):
    async def test(voter, client):
        address = str(client._base_url.authority)

        def show() -> str:
            options = ["--address", address, "--operator-key", "k"]
            return CliRunner().invoke(main, [*options, "status"]).output

        async with client.put("/chivepier/instances/i-1", json=ANNOUNCEMENT):
            pass
        voter.limits.receive((LIMIT_RECORD,))
        async with client.get("/v1/operator/status") as answer:
            (limit,) = json.loads(await answer.read())["limits"]
        assert limit["seconds"] >= 2.0
        del limit["seconds"]
        assert limit == {"target": "i-1", "rate": 1.5, "source": "front-1"}
        assert "front-1" in await asyncio.to_thread(show)
        voter.limits.receive(
            (attrs.evolve(LIMIT_RECORD, version=2, rate=-1.0),)
        )
        async with client.get("/v1/operator/status") as answer:
            assert json.loads(await answer.read())["limits"] == []
        assert "front-1" not in await asyncio.to_thread(show)

    run(test, tmp_path)


def test_status_omits_limits_of_unknown_targets(tmp_path):
    async def test(voter, client):
        voter.limits.receive((LIMIT_RECORD,))
        async with client.get("/v1/operator/status") as answer:
            assert json.loads(await answer.read())["limits"] == []

    run(test, tmp_path)
