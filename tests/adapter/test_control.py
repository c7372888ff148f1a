"""Tests of what targets, operators and callers ask of a voter."""

import asyncio
import json
import os

import aiohttp
from test_configcodec import PLAIN

from adapter.configcodec import decode_host_regions
from adapter.control import ControlServer
from chivepier.gateway.control import Voter
from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.settings import VoterSettings
from chivepier.gateway.targets import TargetState
from chivepier.standins.cluster import find_port
from chivepier.types import SystemClock

BEAT = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "z1",
    "version": "v1",
    "slots": 24,
    "state": "ready",
    "cold-left-ms": 500,
    "seq": 4,
}


def run(test, folder, **changes):
    """Run a test with a lone voter and a client.

    :param changes: of the voter's settings
    """

    async def work():
        peer = f"127.0.0.1:{find_port()}"
        address = f"127.0.0.1:{find_port()}"
        clock = SystemClock()
        log = EventLog("v1", os.open(os.devnull, os.O_WRONLY))
        settings = VoterSettings(
            name="v1",
            address=peer,
            seeds=(peer,),
            folder=folder,
            found=True,
            cluster_key="secret-of-tests",
            beat=1.0,
            **changes,
        )
        async with (
            asyncio.timeout(30),
            Voter(settings, clock, log, decode_host_regions) as voter,
            ControlServer(voter, clock, log, (address,), 1.0),
            aiohttp.ClientSession(f"http://{address}") as client,
        ):
            await test(voter, client)

    asyncio.run(work())


async def put_config(client, plain) -> int:
    """Send a configuration until the answer is clear."""
    while True:
        body = plain if isinstance(plain, bytes) else json.dumps(plain)
        async with client.put("/chivepier/config", data=body) as answer:
            if answer.status != 503:
                return answer.status


def test_beats_and_farewells(tmp_path):
    async def test(voter, client):
        path = "/chivepier/instances/i-1"
        async with client.put(path, json=BEAT) as answer:
            assert answer.status == 200
        target = voter.table.get("i-1")
        assert target.state is TargetState.READY and target.slots == 24
        leaving = {**BEAT, "state": "draining", "seq": 5}
        async with client.put(path, json=leaving) as answer:
            assert answer.status == 200
        async with client.put(path, json=BEAT) as answer:
            assert answer.status == 200
        assert voter.table.is_leaving("i-1")
        again = {**BEAT, "seq": 1, "born": 1700}
        async with client.put(path, json=again) as answer:
            assert answer.status == 200
        assert not voter.table.is_leaving("i-1")
        async with client.delete(path, json={"born": 1600}) as answer:
            assert answer.status == 200
        assert not voter.table.is_leaving("i-1")
        async with client.delete(path) as answer:
            assert answer.status == 200
        assert voter.table.get("i-1").state is TargetState.GONE
        async with client.put(path, data=b"{") as answer:
            assert answer.status == 400
        async with client.put(path, json={"seq": 9}) as answer:
            assert answer.status == 400

    run(test, tmp_path)


def test_configurations_by_their_highest_version(tmp_path):
    async def test(voter, client):
        newer = {**PLAIN, "version": 9}
        assert await put_config(client, newer) == 200
        assert await put_config(client, PLAIN) == 200
        async with client.get("/chivepier/config") as answer:
            assert answer.status == 200
            assert json.loads(await answer.read()) == newer

    run(test, tmp_path)


def test_invalid_configurations_change_nothing(tmp_path):
    async def test(voter, client):
        assert await put_config(client, PLAIN) == 200
        body = json.dumps({**PLAIN, "version": 12}).encode()
        assert await put_config(client, body[:-9]) == 400
        shared = {"name": "t2", "api-keys": ["k1"]}
        bad = {**PLAIN, "version": 13}
        bad["tenants"] = [*PLAIN["tenants"], shared]
        assert await put_config(client, bad) == 400
        async with client.get("/chivepier/config") as answer:
            assert json.loads(await answer.read()) == PLAIN

    run(test, tmp_path)


def test_no_entry_is_told_as_unknown(tmp_path):
    async def test(voter, client):
        async with client.get("/chivepier/resolve?name=x") as answer:
            assert answer.status == 503

    run(test, tmp_path)
