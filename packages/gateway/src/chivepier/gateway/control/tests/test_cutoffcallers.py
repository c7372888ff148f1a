"""Tests of how long callers of an entry wait that has just been cut off."""

import asyncio

from chivepier.gateway.control.tests.fleet import play
from chivepier.standins.loopclock import tell_time

CALLERS = 20
# Seconds between two callers, and that each may wait for an answer.
PAUSE_SECONDS = 0.01
BOUND_SECONDS = 0.3


def test_callers_of_a_cut_off_entry_do_not_wait_for_each_other(tmp_path):
    # Each waited for the questions of those before it: seconds in a rush.
    async def test(fleet):
        follower = await fleet.follow("e1")
        await fleet.write(2)
        follower.links._faults.cut.add("*")
        waits = []

        async def ask():
            began = tell_time()
            assert not await follower.following.confirm_targets(1.0)
            waits.append(tell_time() - began)

        tasks = []
        for _ in range(CALLERS):
            tasks.append(asyncio.create_task(ask()))
            await asyncio.sleep(PAUSE_SECONDS)
        await asyncio.gather(*tasks)
        assert max(waits) <= BOUND_SECONDS

    play(test, tmp_path)
