"""Tests of a voter without a part in the operators' status."""

import json

from test_control import run


def test_status_says_why_a_voter_takes_no_part(tmp_path):
    # Guards against a disk that refuses for hours, seen in failed reads only.
    async def test(voter, client):
        async def read() -> dict:
            async with client.get("/v1/operator/status") as answer:
                return json.loads(await answer.read())

        assert (await read())["takes_part"]
        voter.replica._core.fail(ValueError("odd"))
        status = await read()
        assert not status["takes_part"]
        assert status["trouble"]["stopped"] == "ValueError('odd')"

    run(test, tmp_path)
