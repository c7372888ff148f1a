"""Tests of what the operators' status tells of entries and targets."""

import asyncio
import json

from click.testing import CliRunner
from test_control import ANNOUNCEMENT
from test_control import run

from chivepier.cli.main import main
from chivepier.gateway.messages import EntryBeat

BEAT = EntryBeat("front-1", "10.0.0.2:80", "z1", True, 1, "", 0)


class OpenChannel:
    """A connection that is not heard to have ended."""

    closed = False


def test_silent_entries_and_targets_are_told_from_living_ones(tmp_path):
    # A killed entry was shown for 20 s, a killed target for 30 s, as if it
    # lived: an operator looked elsewhere.
    async def test(voter, client):
        address = str(client._base_url.authority)

        def show() -> str:
            options = ["--address", address, "--operator-key", "k"]
            return CliRunner().invoke(main, [*options, "status"]).output

        async with client.put("/chivepier/instances/i-1", json=ANNOUNCEMENT):
            pass
        voter.entries.record_beat(BEAT, OpenChannel())
        for seconds in (0.0, 7.0):
            voter.entries._entries["front-1"].last_heard -= seconds
            voter.table.get("i-1").heard -= seconds
            async with client.get("/v1/operator/status") as answer:
                status = json.loads(await answer.read())
            for key in ("members", "targets"):
                (shown,) = status[key]
                assert seconds <= shown["silent_s"] < seconds + 5.0
        output = await asyncio.to_thread(show)
        assert output.count("SILENT_S") == 2

    run(test, tmp_path)
