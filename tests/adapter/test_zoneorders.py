"""Tests of operators' orders about availability zones, and of regions."""

import asyncio
import json

from click.testing import CliRunner
from test_configcodec import PLAIN
from test_control import BEAT
from test_control import run as run_voter

from adapter.configcodec import decode_config
from adapter.configcodec import decode_host_regions
from chivepier.cli.main import main
from chivepier.gateway.messages import EntryBeat

PATH = "/chivepier/evacuations/"


def run(test, folder):
    """Run a test with a lone voter that knows two zones, and a client."""
    run_voter(test, folder, regions={"z1": "north", "z2": "south"})


async def order(client, method: str, zone: str) -> int:
    """Send an order until the answer is clear."""
    while True:
        async with client.request(method, PATH + zone) as answer:
            if answer.status != 503:
                return answer.status


def test_a_zone_is_evacuated_and_readmitted(tmp_path):
    # An order whose answer was lost, sent again, was refused.
    async def test(voter, client):
        assert await order(client, "POST", "z1") == 200
        assert await order(client, "POST", "z1") == 200
        assert voter.zones.is_evacuated("z1")
        assert not voter.zones.is_evacuated("z2")
        assert await order(client, "DELETE", "z1") == 200
        assert await order(client, "DELETE", "z2") == 200
        assert not voter.zones.is_evacuated("z1")

    run(test, tmp_path)


def test_an_order_for_what_is_no_zone_is_refused_clearly(tmp_path):
    # A misspelt name was taken and emptied nothing: the operator would take
    # the zone's power away while callers were still being sent there.
    async def test(voter, client):
        for zone in ("z3", "%20", "z" * 300):
            assert await order(client, "POST", zone) == 400
        async with client.put("/chivepier/instances/i-1", json=BEAT):
            pass
        beat = {**BEAT, "zone": "z3"}
        async with client.put("/chivepier/instances/i-2", json=beat):
            pass
        # a target has named it since
        assert await order(client, "POST", "z3") == 200

    run(test, tmp_path)


def test_operators_command_gives_orders_and_shows_them(tmp_path):
    # The command runs in a thread of its own, as it waits for its answers.
    async def test(voter, client):
        address = str(client._base_url.authority)

        def call(*words) -> str:
            options = ["--address", address, "--operator-key", "k"]
            return CliRunner().invoke(main, [*options, *words]).output

        while not await voter.orders.submit("z2", False):
            # until a leader is elected
            await asyncio.sleep(0.01)
        assert "z1 is evacuated" in await asyncio.to_thread(
            call, "evacuate", "z1"
        )
        assert voter.zones.is_evacuated("z1")
        assert "z1" in await asyncio.to_thread(call, "status")
        assert "z1 is readmitted" in await asyncio.to_thread(
            call, "readmit", "z1"
        )
        assert not voter.zones.is_evacuated("z1")
        assert "bad_request" in await asyncio.to_thread(
            call, "evacuate", "no/zone"
        )

    run(test, tmp_path)


def test_cold_bounds_and_regions_are_read():
    services = [
        {**PLAIN["services"][0], "cold-start-s": 1.5, "cold-per-s": 31.0},
        *PLAIN["services"][1:],
    ]
    routes = [
        {**PLAIN["routes"][0], "allowed-regions": ["north", "east"]},
        *PLAIN["routes"][1:],
    ]
    teams = [{**PLAIN["tenants"][0], "allowed-regions": ["north"]}]
    plain = {**PLAIN, "services": services, "routes": routes}
    plain["tenants"] = teams
    found = decode_config(json.dumps(plain).encode())
    assert found.services[0].cold_rate == 31.0
    assert found.routes[0].regions == {"north", "east"}
    assert found.teams[0].regions == {"north"}
    before = decode_config(json.dumps(PLAIN).encode())
    assert before.services[0].cold_rate == 0.0
    assert before.routes[0].regions is None
    host = plain["routes"][0]["host"]
    assert decode_host_regions(json.dumps(plain).encode())[host] == {
        "north",
        "east",
    }
    assert decode_host_regions(json.dumps(PLAIN).encode()) == {}


def test_look_ups_outlive_a_configuration_that_can_not_be_read(tmp_path):
    # A voter of another release took it. Each look-up of this one raised,
    # and its callers were given no address.
    async def test(voter, client):
        while not await voter.store.write(3, b'{"allowed-regions'):
            await asyncio.sleep(0.01)
        voter.entries.record_beat(
            EntryBeat("e1", "10.0.0.9:80", "z1", True, 3, "", 0), Link()
        )
        while True:
            async with client.get("/chivepier/resolve?name=x") as answer:
                if answer.status == 200:
                    plain = await answer.json()
                    break
                # silent for a moment after its start
                assert answer.status == 503
        assert plain["addresses"] == ["10.0.0.9:80"]

    run(test, tmp_path)


class Link:
    """An entry's link that is there."""

    closed = False

    def send(self, message) -> None:
        """Take a push."""
