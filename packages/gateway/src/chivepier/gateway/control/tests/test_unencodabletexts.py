"""Tests of voters that are told texts that no message can hold."""

import asyncio

import pytest

from chivepier.gateway.control.tests.fleet import play
from chivepier.gateway.control.tests.fleet import wait_until
from chivepier.gateway.control.tests.test_replacements import RECOVER_SECONDS
from chivepier.gateway.control.tests.test_replacements import TOUCH_SECONDS
from chivepier.gateway.targets import Target
from chivepier.gateway.targets import TargetState
from chivepier.standins.loopclock import tell_time

# JSON may hold a lone surrogate, which has no encoding
BAD_TEXT = "\ud800"


def make_target(**fields) -> Target:
    """Make the announcement of a target."""
    known = dict(
        instance="i-1",
        service="s",
        address="10.0.0.9:80",
        zone="z0",
        state=TargetState.READY,
        number=1,
        slots=1,
        heard=tell_time(),
        software_version="1",
    )
    return Target(**{**known, **fields})


@pytest.mark.parametrize("field", ("service", "zone", "software_version"))
def test_text_without_an_encoding_leaves_the_voters_a_leader(tmp_path, field):
    # Guards against voters that all run and answer, and reach one another
    # no more: no leader is known to the end.
    async def test(fleet):
        await fleet.write(3, "kept")
        for voter in fleet.voters.values():
            voter.registry.announce(make_target(**{field: BAD_TEXT}))
        await asyncio.sleep(RECOVER_SECONDS)
        async with asyncio.timeout(TOUCH_SECONDS):
            await fleet.write(4, "after")
            for address in fleet.voters:
                assert await fleet.read(address) == b"4 after"

    play(test, tmp_path, 3)


def test_text_without_an_encoding_costs_entries_no_push(tmp_path):
    # Guards against an entry that hears of no version and no target any more.
    async def test(fleet):
        await fleet.write(3, "kept")
        (follower,) = await fleet.follow_many(1)
        await wait_until(lambda: follower.state.index is not None)
        for voter in fleet.voters.values():
            voter.registry.announce(make_target(service=BAD_TEXT))
            voter.registry.announce(make_target(instance="i-2"))
        await asyncio.sleep(TOUCH_SECONDS)
        await fleet.write(4, "after")
        await asyncio.sleep(TOUCH_SECONDS)
        assert follower.state.index.version == 4
        assert follower.table.get("i-2") is not None

    play(test, tmp_path, 3)
