"""Tests of a voter's HTTP server."""

import asyncio
import json
import os

import aiohttp
from test_configcodec import CONFIG_FIELDS

from adapter.configcodec import decode_host_regions
from adapter.control import ControlServer
from chivepier.gateway.control import Voter
from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.settings import VoterSettings
from chivepier.gateway.targets import TargetState
from chivepier.standins.cluster import find_port
from chivepier.types import SystemClock

ANNOUNCEMENT = {
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
    """Run a test with a single voter and a client.

    :param changes: additional settings of the voter
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


def test_change_under_way_at_a_stop_is_answered(tmp_path, monkeypatch):
    """Guards against changes that are in force but cut without an answer."""

    async def work():
        peer = f"127.0.0.1:{find_port()}"
        address = f"127.0.0.1:{find_port()}"
        clock = SystemClock()
        log = EventLog("v1", os.open(os.devnull, os.O_WRONLY))
        settings = VoterSettings(
            name="v1",
            address=peer,
            seeds=(peer,),
            folder=tmp_path,
            found=True,
            cluster_key="secret-of-tests",
            beat=1.0,
        )
        begun = asyncio.Event()

        async def write_slowly(version, body):
            begun.set()
            await asyncio.sleep(0.7)
            return True

        async with (
            asyncio.timeout(30),
            Voter(settings, clock, log, decode_host_regions) as voter,
            aiohttp.ClientSession(f"http://{address}") as client,
        ):
            monkeypatch.setattr(voter.store, "write", write_slowly)
            async with ControlServer(voter, clock, log, (address,), 1.0):
                change = asyncio.create_task(put_config(client, CONFIG_FIELDS))
                await begun.wait()
            assert await change == 200

    asyncio.run(work())


async def put_config(client, fields) -> int:
    """Send a configuration until the status is not 503."""
    while True:
        body = fields if isinstance(fields, bytes) else json.dumps(fields)
        async with client.put("/chivepier/config", data=body) as answer:
            if answer.status != 503:
                return answer.status


def test_announcements_and_deregistrations(tmp_path):
    async def test(voter, client):
        path = "/chivepier/instances/i-1"
        async with client.put(path, json=ANNOUNCEMENT) as answer:
            assert answer.status == 200
        target = voter.table.get("i-1")
        assert target.state is TargetState.READY and target.slots == 24
        leaving = {**ANNOUNCEMENT, "state": "draining", "seq": 5}
        async with client.put(path, json=leaving) as answer:
            assert answer.status == 200
        async with client.put(path, json=ANNOUNCEMENT) as answer:
            assert answer.status == 200
        assert voter.table.is_leaving("i-1")
        again = {**ANNOUNCEMENT, "seq": 1, "born": 1700}
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


def test_older_configuration_does_not_replace_newer(tmp_path):
    async def test(voter, client):
        newer = {**CONFIG_FIELDS, "version": 9}
        assert await put_config(client, newer) == 200
        assert await put_config(client, CONFIG_FIELDS) == 200
        async with client.get("/chivepier/config") as answer:
            assert answer.status == 200
            assert json.loads(await answer.read()) == newer

    run(test, tmp_path)


def test_invalid_configurations_change_nothing(tmp_path):
    async def test(voter, client):
        assert await put_config(client, CONFIG_FIELDS) == 200
        body = json.dumps({**CONFIG_FIELDS, "version": 12}).encode()
        assert await put_config(client, body[:-9]) == 400
        shared = {"name": "t2", "api-keys": ["k1"]}
        bad = {**CONFIG_FIELDS, "version": 13}
        bad["tenants"] = [*CONFIG_FIELDS["tenants"], shared]
        assert await put_config(client, bad) == 400
        async with client.get("/chivepier/config") as answer:
            assert json.loads(await answer.read()) == CONFIG_FIELDS

    run(test, tmp_path)


def test_look_up_without_entries_is_unavailable(tmp_path):
    async def test(voter, client):
        async with client.get("/chivepier/resolve?name=x") as answer:
            assert answer.status == 503

    run(test, tmp_path)
