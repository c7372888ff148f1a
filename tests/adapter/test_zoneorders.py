"""Tests of evacuating availability zones, and of regions."""

import asyncio
import json

from click.testing import CliRunner
from test_configcodec import CONFIG_FIELDS
from test_control import ANNOUNCEMENT
from test_control import run as run_voter

from adapter.configcodec import decode_config
from adapter.configcodec import decode_host_regions
from chivepier.cli.main import main
from chivepier.gateway.messages import EntryBeat

PATH = "/chivepier/evacuations/"


def run(test, folder):
    """Run a test with a single voter that has two zones, and a client."""
    run_voter(test, folder, regions={"z1": "north", "z2": "south"})


async def request_order(client, method: str, zone: str) -> int:
    """Request an evacuation or its end until the status is not 503."""
    while True:
        async with client.request(method, PATH + zone) as answer:
            if answer.status != 503:
                return answer.status


def test_a_zone_is_evacuated_and_readmitted(tmp_path):
    # A repeated order was refused after the answer to the first was lost.
    async def test(voter, client):
        assert await request_order(client, "POST", "z1") == 200
        assert await request_order(client, "POST", "z1") == 200
        assert voter.zones.is_evacuated("z1")
        assert not voter.zones.is_evacuated("z2")
        assert await request_order(client, "DELETE", "z1") == 200
        assert await request_order(client, "DELETE", "z2") == 200
        assert not voter.zones.is_evacuated("z1")

    run(test, tmp_path)


def test_order_for_an_unknown_zone_is_refused(tmp_path):
    # A misspelt name was accepted without effect, so an operator could shut a
    # zone down while callers were still sent there.
    async def test(voter, client):
        for zone in ("z3", "%20", "z" * 300):
            assert await request_order(client, "POST", zone) == 400
        async with client.put("/chivepier/instances/i-1", json=ANNOUNCEMENT):
            pass
        announcement = {**ANNOUNCEMENT, "zone": "z3"}
        async with client.put("/chivepier/instances/i-2", json=announcement):
            pass
        # the zone is known once a target has announced it
        assert await request_order(client, "POST", "z3") == 200

    run(test, tmp_path)


def test_command_line_evacuates_and_readmits_zones(tmp_path):
    # The command blocks while it waits for answers, so it runs in a thread.
    async def test(voter, client):
        address = str(client._base_url.authority)

        def run_command(*words) -> str:
            options = ["--address", address, "--operator-key", "k"]
            return CliRunner().invoke(main, [*options, *words]).output

        while not await voter.orders.submit("z2", False):
            # wait until a leader is elected
            await asyncio.sleep(0.01)
        assert "z1 is evacuated" in await asyncio.to_thread(
            run_command, "evacuate", "z1"
        )
        assert voter.zones.is_evacuated("z1")
        assert "z1" in await asyncio.to_thread(run_command, "status")
        assert "z1 is readmitted" in await asyncio.to_thread(
            run_command, "readmit", "z1"
        )
        assert not voter.zones.is_evacuated("z1")
        assert "bad_request" in await asyncio.to_thread(
            run_command, "evacuate", "no/zone"
        )

    run(test, tmp_path)


def test_cold_rates_and_regions_are_decoded():
    services = [
        {
            **CONFIG_FIELDS["services"][0],
            "cold-start-s": 1.5,
            "cold-per-s": 31.0,
        },
        *CONFIG_FIELDS["services"][1:],
    ]
    routes = [
        {**CONFIG_FIELDS["routes"][0], "allowed-regions": ["north", "east"]},
        *CONFIG_FIELDS["routes"][1:],
    ]
    teams = [{**CONFIG_FIELDS["tenants"][0], "allowed-regions": ["north"]}]
    fields = {**CONFIG_FIELDS, "services": services, "routes": routes}
    fields["tenants"] = teams
    found = decode_config(json.dumps(fields).encode())
    assert found.services[0].cold_rate == 31.0
    assert found.routes[0].regions == {"north", "east"}
    assert found.teams[0].regions == {"north"}
    unrestricted = decode_config(json.dumps(CONFIG_FIELDS).encode())
    assert unrestricted.services[0].cold_rate == 0.0
    assert unrestricted.routes[0].regions is None
    host = fields["routes"][0]["host"]
    assert decode_host_regions(json.dumps(fields).encode())[host] == {
        "north",
        "east",
    }
    assert decode_host_regions(json.dumps(CONFIG_FIELDS).encode()) == {}


def test_look_ups_survive_an_undecodable_configuration(tmp_path):
    # A voter of another release stored the configuration. Each look-up at
    # this one raised, so callers got no addresses.
    async def test(voter, client):
        while not await voter.store.write(3, b'{"allowed-regions'):
            await asyncio.sleep(0.01)
        voter.entries.record_beat(
            EntryBeat("e1", "10.0.0.9:80", "z1", True, 3, "", 0), FakeLink()
        )
        while True:
            async with client.get("/chivepier/resolve?name=x") as answer:
                if answer.status == 200:
                    fields = await answer.json()
                    break
                # a voter answers no look-ups right after its start
                assert answer.status == 503
        assert fields["addresses"] == ["10.0.0.9:80"]

    run(test, tmp_path)


class FakeLink:
    """Open link to an entry that ignores messages."""

    closed = False

    def send(self, message) -> None:
        """Ignore a message."""
