"""Voters under single, chosen failures."""

import asyncio

from chivepier.state.testing.histories import make_change
from chivepier.state.testing.rig import Rig


def test_three_voters_commit_and_apply_everywhere():
    async def play():
        async with Rig(3) as rig:
            answer = await rig.propose(make_change("t1"))
            assert answer.error == ""
            await rig.wait(
                lambda: all(
                    ("team", "t1") in r.machine.documents
                    for r in rig.replicas.values()
                )
            )

    asyncio.run(play())


def test_single_voter_leads_and_commits():
    async def play():
        async with Rig(1) as rig:
            assert (await rig.propose(make_change("t1"))).error == ""

    asyncio.run(play())
