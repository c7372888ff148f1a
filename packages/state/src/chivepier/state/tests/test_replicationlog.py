"""Tests of what a leader writes of voters that do not answer."""

import asyncio

import logbook

from chivepier.state.testing.rig import Rig


def test_leader_names_a_voter_that_falls_silent_and_answers_again():
    # Guards against a silence one way of which the follower knows nothing.
    async def run() -> tuple[str, list[str]]:
        async with Rig(3) as rig:
            leader = await rig.await_leader()
            await rig.step(1.0)
            lines = logbook.TestHandler()
            name = next(n for n in rig.replicas if n != leader.node)
            with lines.applicationbound():
                rig.network.cut.add((name, leader.node))
                await rig.step(3.0)
                rig.network.cut.clear()
                await rig.step(1.0)
            return name, [record.message for record in lines.records]

    name, lines = asyncio.run(run())
    told = [line for line in lines if f"node={name}" in line]
    assert len(told) == 2
    assert told[0].startswith("voter silent")
    assert told[1].startswith("voter answers")
