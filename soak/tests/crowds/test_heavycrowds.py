"""Tests of an entry among clients that make it hold much for each of them.

They run one at a time: each measures one process.
"""

import asyncio

import pytest

from soak.crowds import HEAVY_SHAPES
from soak.crowds import SHAPES
from soak.crowds import VOTER_SHAPES
from soak.crowdscenario import PRESS_SECONDS

CALLER_PORT, CONTROL_PORT = 8740, 8748
# Of which descriptors are kept for files; sockets share the others.
RESERVED_DESCRIPTORS = 200
BODY = b"x" * 1024
CROWDS = {name: (shape,) for name, shape in HEAVY_SHAPES.items()} | {
    "together": (
        *HEAVY_SHAPES.values(),
        SHAPES["requests-unread"],
        SHAPES["body"],
        SHAPES["head-then-nothing"],
    )
}


@pytest.mark.parametrize("crowd", CROWDS)
def test_entry_holds_little_for_its_clients_together(crowd, heavy_crowds):
    # What each client may take was bounded, not what they take together; and
    # bodies that never end kept others out.
    async def test(scenario, session):
        entry = scenario.entry
        shapes = CROWDS[crowd]
        async with scenario.gather_crowd(entry, CALLER_PORT, shapes) as meter:
            await asyncio.sleep(PRESS_SECONDS)
            beside = await scenario.call(session, BODY)
        print(f"{meter.memory_mb:.0f} MB, {meter.sockets} sockets")
        assert entry.alive
        assert meter.memory_mb < scenario.memory_mb
        max_sockets = scenario.max_descriptors - RESERVED_DESCRIPTORS
        assert meter.sockets <= max_sockets
        assert beside.status == 200
        assert (await scenario.call(session, BODY)).status == 200

    heavy_crowds.play(test)


@pytest.mark.parametrize("crowd", VOTER_SHAPES)
def test_voter_hears_others_beside_bodies_that_never_end(crowd, heavy_crowds):
    # They held all memory for bodies, so targets and operators were refused.
    async def test(scenario, session):
        voter = scenario.voters[0]
        shapes = (VOTER_SHAPES[crowd],)
        async with scenario.gather_crowd(voter, CONTROL_PORT, shapes) as meter:
            await asyncio.sleep(PRESS_SECONDS)
            statuses = await scenario.tell_voter(session, voter)
        print(f"{meter.memory_mb:.0f} MB, {meter.sockets} sockets, {statuses}")
        assert voter.alive
        assert meter.memory_mb < scenario.voter_memory_mb
        assert statuses == (200, 200)

    heavy_crowds.play(test)
