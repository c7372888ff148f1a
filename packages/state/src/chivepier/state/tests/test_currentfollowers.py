"""Tests of followers that say that they know what is committed."""

import asyncio

from chivepier.messages import encode
from chivepier.messages import Noop
from chivepier.state.testing.rig import Rig

SEEDS = 20
# A few steps of the rig.
SLACK_SECONDS = 0.1


async def measure_stale(seed: int, busy_seconds: float = 0.0) -> float:
    """Return how old an entry became that a current follower lacked.

    :param busy_seconds: for how long after the cut its disk takes a write
    """
    oldest = 0.0
    async with Rig(5, seed) as rig:
        leader = await rig.await_leader()
        names = [n for n in rig.replicas if n != leader.node]
        follower, rest = rig.replicas[names[0]], names[1:]
        await rig.step(1.0)
        for name in rest:
            rig.unlink(leader.node, name)
            rig.unlink(follower.node, name)

        if busy_seconds:
            await follower._core.lock.acquire()
        cut_at = rig.clock.monotonic()

        def find_next():
            return next(
                (
                    r
                    for n, r in rig.replicas.items()
                    if n in rest and r.leads() and r._core.tenure.settled()
                ),
                None,
            )

        await rig.wait(lambda: find_next() is not None)
        await rig.finish(find_next().propose(encode(Noop())))
        index = find_next().commit
        committed_at = rig.clock.monotonic()
        for _ in range(160):
            await rig.step()
            passed = rig.clock.monotonic() - cut_at
            if 0.0 < busy_seconds < passed:
                follower._core.lock.release()
                busy_seconds = 0.0
            if follower.is_current() and follower.commit < index:
                oldest = max(oldest, rig.clock.monotonic() - committed_at)
    return oldest


def test_follower_of_a_leader_without_a_lease_is_not_current_for_long():
    # Guards against denials by a minority whose leader has not noticed yet.
    async def test():
        for seed in range(SEEDS):
            oldest = await measure_stale(seed)
            assert oldest < 1.0 + SLACK_SECONDS, f"seed {seed}: {oldest:.2f}"

    asyncio.run(test())


def test_follower_whose_disk_stalled_is_not_current_by_appends_that_waited():
    # Guards against denials after a stall: what waited is taken for fresh.
    async def test():
        for seed in range(SEEDS):
            oldest = await measure_stale(seed, busy_seconds=5.0)
            assert oldest < 1.0 + SLACK_SECONDS, f"seed {seed}: {oldest:.2f}"

    asyncio.run(test())
