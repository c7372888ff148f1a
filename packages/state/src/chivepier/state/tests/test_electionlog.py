"""Tests of what elections write to the log."""

import asyncio

import logbook

from chivepier.state.testing.rig import Rig


def test_candidate_names_who_refused_it_and_they_name_why():
    # Guards against seconds without a leader of which the log tells nothing.
    async def run() -> list[str]:
        async with Rig(3) as rig:
            await rig.await_leader()
            lines = logbook.TestHandler()
            with lines.applicationbound():
                follower = next(
                    name
                    for name, replica in rig.replicas.items()
                    if not replica.leads()
                )
                rig.isolate(follower, one_way=True)
                await rig.step(5.0)
                rig.network.cut.clear()
                await rig.step(1.0)
            return [record.message for record in lines.records]

    lines = asyncio.run(run())
    assert any(
        line.startswith("stood") and "won=False" in line for line in lines
    )
    assert any(line.startswith("refused candidate=v") for line in lines)
