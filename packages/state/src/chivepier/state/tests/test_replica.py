"""Voters under single, chosen failures."""

import asyncio

from chivepier.messages import ChangeCommand
from chivepier.messages import Edit
from chivepier.state.testing import Rig


def change(number: int, base: int = 0) -> ChangeCommand:
    """Make a change of one document."""
    edit = Edit("team", f"t{number}", base, b"spec")
    return ChangeCommand(f"c{number}", "op", (edit,))


def test_three_voters_commit_and_apply_everywhere():
    async def play():
        async with Rig(3) as rig:
            answer = await rig.propose(change(1))
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
            assert (await rig.propose(change(1))).error == ""

    asyncio.run(play())
