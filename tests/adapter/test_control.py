"""Tests of a voter's HTTP server."""

import asyncio
import copy
import json
import os
import tracemalloc

import aiohttp
import pytest
from test_configcodec import CONFIG_FIELDS
from test_configcodec import UNSERVABLE

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


@pytest.mark.parametrize("change", UNSERVABLE.values(), ids=UNSERVABLE)
def test_what_entries_cannot_serve_by_changes_nothing(change, tmp_path):
    # It was acknowledged, and requests ran elsewhere or not at all.
    async def test(voter, client):
        assert await put_config(client, CONFIG_FIELDS) == 200
        bad = copy.deepcopy({**CONFIG_FIELDS, "version": 8})
        change(bad)
        assert await put_config(client, json.dumps(bad).encode()) == 400
        async with client.get("/chivepier/config") as answer:
            assert json.loads(await answer.read()) == CONFIG_FIELDS

    run(test, tmp_path)


def test_look_up_without_entries_is_unavailable(tmp_path):
    async def test(voter, client):
        async with client.get("/chivepier/resolve?name=x") as answer:
            assert answer.status == 503

    run(test, tmp_path)


@pytest.mark.parametrize(
    "path, statuses",
    [
        ("/chivepier/instances/i1", {413}),
        ("/chivepier/config", {413, 503}),
    ],
)
def test_endless_bodies_take_bounded_memory(path, statuses, tmp_path):
    # A voter kept a hundred bodies of 8 MB each, and ran out of memory.
    async def send_on():
        while True:
            yield b"x" * (64 << 10)

    async def ask(client):
        try:
            async with client.put(path, data=send_on()) as answer:
                return answer.status
        except aiohttp.ClientError:
            # it was closed as it still sent
            return None

    async def test(voter, client):
        tracemalloc.start()
        try:
            found = await asyncio.gather(*(ask(client) for _ in range(40)))
            _, peak = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        assert set(found) <= {*statuses, None}
        assert peak < 64 << 20
        announced = "/chivepier/instances/i2"
        async with client.put(announced, json=ANNOUNCEMENT) as answer:
            assert answer.status == 200

    run(test, tmp_path)


def test_body_that_drips_is_ended(tmp_path, monkeypatch):
    # A voter waited for it without end.
    monkeypatch.setattr("adapter.bodybounds.BODY_SECONDS", 0.2)

    async def drip():
        while True:
            yield b" "
            await asyncio.sleep(0.05)

    async def test(voter, client):
        path = "/chivepier/instances/i1"
        async with client.put(path, data=drip()) as answer:
            assert answer.status == 408

    run(test, tmp_path)
