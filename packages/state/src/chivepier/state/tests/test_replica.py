"""Voters under single, chosen failures."""

import asyncio

import pytest

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


async def be_cancelled() -> None:
    """Wait for what somebody else cancels."""
    raise asyncio.CancelledError


def test_task_that_ends_as_what_it_waits_for_is_cancelled_is_heard():
    # Guards against a voter that answers callers and never stands again,
    # after a cancellation that nobody hears.
    async def play_it():
        async with Rig(1) as rig:
            (replica,) = rig.replicas.values()
            core = replica._core
            waiting = asyncio.create_task(core.guard(asyncio.sleep(60)))
            await asyncio.sleep(0)
            waiting.cancel()
            with pytest.raises(asyncio.CancelledError):
                await waiting
            assert replica.error is None
            await core.guard(be_cancelled())
            assert replica.error is not None

    asyncio.run(play_it())
