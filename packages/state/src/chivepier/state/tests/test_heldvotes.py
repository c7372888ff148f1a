"""Tests of elections beside a candidate that is heard and can't win."""

import asyncio

from chivepier.messages import encode
from chivepier.messages import Noop
from chivepier.state.testing.rig import Rig
from chivepier.state.tests.test_elections import CALM_SECONDS

SEEDS = range(100, 160)
SLOWEST_SECONDS = 0.06


async def measure(size: int, seed: int) -> float:
    """Return the seconds from a cut to a leader among those that can win.

    The leader before hears one other voter alone, and its log is longer.
    """
    async with Rig(size, seed) as rig:
        rig.network.slowest = SLOWEST_SECONDS
        leader = await rig.await_leader()
        others = [n for n in rig.replicas if n != leader.node]
        sent = {(leader.node, other) for other in others}
        rig.network.cut |= sent
        task = asyncio.ensure_future(leader.propose(encode(Noop())))
        await rig.step(0.2)
        rig.network.cut -= sent
        for other in others[1:]:
            rig.unlink(leader.node, other)
        began = rig.clock.monotonic()

        def is_led() -> bool:
            return any(
                replica.leads() and replica._core.tenure.settled()
                for name, replica in rig.replicas.items()
                if name in others
            )

        await rig.wait(is_led)
        task.cancel()
        return rig.clock.monotonic() - began


def test_candidate_that_cannot_win_does_not_hold_back_the_others():
    # Guards against a pre-vote that is promised again and again to a
    # candidate with a longer log that reaches too few voters.
    async def test():
        for seed in SEEDS:
            seconds = await measure(4, seed)
            assert seconds < CALM_SECONDS, f"seed {seed}: {seconds:.2f} s"

    asyncio.run(test())
